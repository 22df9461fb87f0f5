//! Reads the tables of `docs/operators.md`.

use {serde_json::Value, std::fs};

/// The cells of a table row.
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

/// Returns the text of a cell between backticks, or `None` if it has none.
pub(crate) fn code(cell: &str) -> Option<&str> {
    cell.strip_prefix('`')?.strip_suffix('`')
}

/// Returns the first column of a table, without backticks and sorted.
pub(crate) fn keys(rows: &[Row]) -> Vec<String> {
    let mut keys: Vec<String> = rows
        .iter()
        .map(|row| code(&row[0]).unwrap().to_owned())
        .collect();
    keys.sort();
    keys
}

/// Removes the keys of sections, which the page does not list.
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

/// Sets the value at a path such as `tls.key`. The values are JSON, which is a
/// subset of YAML.
pub(crate) fn set(value: &mut Value, path: &str, text: &str) {
    let target = path.split('.').fold(value, |value, key| &mut value[key]);
    *target = match text {
        "[]" => Value::Array(Vec::new()),
        text => Value::String(text.to_owned()),
    };
}
