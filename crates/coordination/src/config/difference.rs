//! The difference between two configurations, shown to the operator and
//! summarised in the audit log.

use {
    filbertbend_state::{id, service::Declaration},
    serde::Serialize,
    std::{collections::BTreeMap, fmt, sync::Arc},
};

/// Maximum number of lines of one audit entry, so that a first publish of
/// thousands of services does not fill the manifest.
const SUMMARY_LIMIT_LINES: usize = 200;

/// Maximum length of a line of an audit entry, in characters.
const LINE_LIMIT_CHARS: usize = 300;

/// A field of a declaration whose value changes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Field {
    /// The key in the scheduling file.
    pub key: &'static str,
    /// The value before.
    pub from: String,
    /// The value after.
    pub to: String,
}

/// One change that a publish makes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(tag = "edit", rename_all = "kebab-case")]
pub enum Edit {
    /// A service is declared for the first time.
    Add {
        /// The service.
        service: id::Service,
        /// Its team.
        team: id::Team,
    },
    /// A service is no longer declared.
    Remove {
        /// The service.
        service: id::Service,
        /// Its team.
        team: id::Team,
    },
    /// A service is declared differently.
    Change {
        /// The service.
        service: id::Service,
        /// The fields whose values differ.
        fields: Vec<Field>,
    },
    /// An endpoint is drained and gets no new work.
    Drain {
        /// The endpoint.
        endpoint: id::Endpoint,
    },
    /// An endpoint is no longer drained and gets work again.
    Undrain {
        /// The endpoint.
        endpoint: id::Endpoint,
    },
}

impl fmt::Display for Edit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Add { service, team } => write!(f, "add service {service} of team {team}"),
            Self::Remove { service, team } => write!(f, "remove service {service} of team {team}"),
            Self::Change { service, fields } => {
                write!(f, "change service {service}:")?;
                for (index, field) in fields.iter().enumerate() {
                    let comma = if index == 0 { "" } else { "," };
                    write!(f, "{comma} {} {} -> {}", field.key, field.from, field.to)?;
                }
                Ok(())
            }
            Self::Drain { endpoint } => write!(f, "drain endpoint {endpoint}"),
            Self::Undrain { endpoint } => write!(f, "undrain endpoint {endpoint}"),
        }
    }
}

/// All changes that a publish makes, ordered by name.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Difference {
    /// The changes.
    pub edits: Vec<Edit>,
}

impl Difference {
    /// Compares the services in force with those after a publish.
    pub fn of_services<'a>(
        before: impl IntoIterator<Item = &'a Declaration>,
        after: impl IntoIterator<Item = &'a Declaration>,
    ) -> Self {
        let before = by_name(before);
        let after = by_name(after);
        let mut names: Vec<&id::Service> = before.keys().chain(after.keys()).copied().collect();
        names.sort();
        names.dedup();
        let edits = names
            .into_iter()
            .filter_map(|name| edit(before.get(name).copied(), after.get(name).copied()))
            .collect();
        Self { edits }
    }

    /// Returns whether nothing changes.
    pub fn is_empty(&self) -> bool {
        self.edits.is_empty()
    }

    /// Returns one line for each change. The number of lines and their length
    /// are limited.
    pub fn summary(&self) -> Vec<Arc<str>> {
        let mut lines: Vec<Arc<str>> = self
            .edits
            .iter()
            .take(SUMMARY_LIMIT_LINES)
            .map(|edit| shorten(edit.to_string()))
            .collect();
        if let Some(more) = self.edits.len().checked_sub(SUMMARY_LIMIT_LINES + 1) {
            lines.push(format!("and {} more", more + 1).into());
        }
        lines
    }
}

fn by_name<'a>(
    services: impl IntoIterator<Item = &'a Declaration>,
) -> BTreeMap<&'a id::Service, &'a Declaration> {
    services
        .into_iter()
        .map(|service| (&service.name, service))
        .collect()
}

fn edit(before: Option<&Declaration>, after: Option<&Declaration>) -> Option<Edit> {
    match (before, after) {
        (None, Some(added)) => Some(Edit::Add {
            service: added.name.clone(),
            team: added.team.clone(),
        }),
        (Some(removed), None) => Some(Edit::Remove {
            service: removed.name.clone(),
            team: removed.team.clone(),
        }),
        (Some(before), Some(after)) if before != after => Some(Edit::Change {
            service: after.name.clone(),
            fields: changed_fields(before, after),
        }),
        _ => None,
    }
}

fn changed_fields(before: &Declaration, after: &Declaration) -> Vec<Field> {
    fields(before)
        .into_iter()
        .zip(fields(after))
        .filter(|((_, from), (_, to))| from != to)
        .map(|((key, from), (_, to))| Field { key, from, to })
        .collect()
}

/// Returns the key and the value of every field, as the scheduling file writes
/// them. The declaration is destructured without `..`, so that a new field
/// causes a compile error here.
fn fields(declaration: &Declaration) -> Vec<(&'static str, String)> {
    let Declaration {
        name: _,
        team,
        kind,
        class,
        idempotent,
        deadline,
        size,
        run_time,
        share,
        quota,
        retry,
        data_centres,
    } = declaration;
    let centres: Vec<&str> = data_centres.iter().map(id::DataCentre::as_str).collect();
    vec![
        ("team", team.to_string()),
        ("kind", kind.to_string()),
        ("class", class.to_string()),
        ("idempotent", idempotent.to_string()),
        ("deadline", deadline.to_string()),
        ("size.cores", size.cores.to_string()),
        ("size.memory", size.memory.to_string()),
        ("size.accelerators", size.accelerators.to_string()),
        ("run_time", run_time.to_string()),
        ("share", share.to_string()),
        ("quota.cores", quota.cores.to_string()),
        ("quota.memory", quota.memory.to_string()),
        ("quota.accelerators", quota.accelerators.to_string()),
        ("retry.tries", retry.tries.to_string()),
        ("retry.hedge", retry.hedge.to_string()),
        ("data_centres", format!("[{}]", centres.join(", "))),
    ]
}

fn shorten(line: String) -> Arc<str> {
    match line.char_indices().nth(LINE_LIMIT_CHARS) {
        Some((end, _)) => format!("{}…", &line[..end]).into(),
        None => line.into(),
    }
}
