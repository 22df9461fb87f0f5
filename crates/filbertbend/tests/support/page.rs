//! Reads tables of the documentation.

use {serde_json::Value, std::fs};

/// One row of a table, cell by cell.
pub(crate) type Row = Vec<String>;

/// Returns the rows of the first table below `heading` of `docs/operators.md`.
pub(crate) fn table(heading: &str) -> Vec<Row> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/operators.md");
    let page = fs::read_to_string(path).unwrap();
    let (_, below) = page.split_once(&format!("\n{heading}\n")).unwrap();
    below
        .lines()
        .skip_while(|line| !line.starts_with('|'))
        .take_while(|line| line.starts_with('|'))
        .skip(2)
        .map(|line| line.trim_matches('|').split('|'))
        .map(|cells| cells.map(|cell| cell.trim().to_owned()).collect())
        .collect()
}

/// Returns a cell without its backticks, or `None` if it is plain text.
pub(crate) fn code(cell: &str) -> Option<&str> {
    cell.strip_prefix('`')?.strip_suffix('`')
}

/// Returns the keys of a table, sorted.
pub(crate) fn keys(rows: &[Row]) -> Vec<String> {
    let mut keys: Vec<String> = rows
        .iter()
        .map(|row| code(&row[0]).unwrap().to_owned())
        .collect();
    keys.sort();
    keys
}

/// Removes the keys of sections, which the documentation does not list.
pub(crate) fn leaves(keys: Vec<String>) -> Vec<String> {
    let is_section = |key: &String| {
        keys.iter()
            .any(|other| other.starts_with(&format!("{key}.")))
    };
    keys.iter()
        .filter(|key| !is_section(key))
        .cloned()
        .collect()
}

/// Sets the key at a path such as `tls.key`; YAML contains JSON.
pub(crate) fn set(value: &mut Value, path: &str, text: &str) {
    let target = path.split('.').fold(value, |value, key| &mut value[key]);
    *target = match text {
        "[]" => Value::Array(Vec::new()),
        text => Value::String(text.to_owned()),
    };
}
