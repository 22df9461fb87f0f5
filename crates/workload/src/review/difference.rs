//! What a configuration changes in the one that is in force.

use {
    super::{Draft, Limits, Queue},
    filbertbend_state::unit::Millis,
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::Display,
        sync::Arc,
    },
    strum::Display,
};

/// A value that differs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Field {
    /// What the value says.
    pub name: &'static str,
    /// The value in force, `none` if it is not set.
    pub from: String,
    /// The value that would take effect.
    pub to: String,
}

/// What happens to a part of the configuration.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum Edit {
    /// It is new.
    Add,
    /// It is no longer there. Jobs that a removed queue has accepted still run.
    Remove,
    /// Some of its values differ.
    Change(Vec<Field>),
}

/// The difference between two configurations.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Difference {
    /// The version in force and the new one.
    pub versions: (u64, u64),
    /// What happens to queues, by name.
    pub queues: Vec<(Arc<str>, Edit)>,
    /// What happens to pools, by name.
    pub pools: Vec<(Arc<str>, Edit)>,
    /// The limits that differ.
    pub limits: Vec<Field>,
}

impl Difference {
    /// Returns whether processes would take the new configuration: they never go back
    /// to a version that they know or to an older one.
    pub fn takes_effect(&self) -> bool {
        self.versions.1 > self.versions.0
    }

    /// Returns whether nothing but the version differs.
    pub fn is_empty(&self) -> bool {
        self.queues.is_empty() && self.pools.is_empty() && self.limits.is_empty()
    }
}

/// Compares the configuration in force with a new one.
pub fn between(in_force: &Draft, new: &Draft) -> Difference {
    Difference {
        versions: (in_force.version, new.version),
        queues: compare_queues(in_force, new),
        pools: compare_pools(in_force, new),
        limits: changed(&limits(&in_force.limits), &limits(&new.limits)),
    }
}

fn compare_queues(in_force: &Draft, new: &Draft) -> Vec<(Arc<str>, Edit)> {
    let before = by_name(in_force);
    let after = by_name(new);
    let names: BTreeSet<&Arc<str>> = before.keys().chain(after.keys()).copied().collect();
    let edit = |name: &Arc<str>| match (before.get(name), after.get(name)) {
        (None, Some(_)) => Some(Edit::Add),
        (Some(_), None) => Some(Edit::Remove),
        (Some(from), Some(to)) => {
            let fields = changed(&values(from), &values(to));
            (!fields.is_empty()).then_some(Edit::Change(fields))
        }
        (None, None) => None,
    };
    names
        .into_iter()
        .filter_map(|name| Some((name.clone(), edit(name)?)))
        .collect()
}

fn by_name(draft: &Draft) -> BTreeMap<&Arc<str>, &Queue> {
    let queues = draft.queues.iter();
    queues.map(|queue| (&queue.name, queue)).collect()
}

fn compare_pools(in_force: &Draft, new: &Draft) -> Vec<(Arc<str>, Edit)> {
    let before: BTreeSet<&Arc<str>> = in_force.pools.iter().collect();
    let after: BTreeSet<&Arc<str>> = new.pools.iter().collect();
    let removed = before.difference(&after).map(|name| (*name, Edit::Remove));
    let added = after.difference(&before).map(|name| (*name, Edit::Add));
    let edits = removed.chain(added);
    edits.map(|(name, edit)| (name.clone(), edit)).collect()
}

/// A value with its name.
type Value = (&'static str, String);

/// Lists the values of a queue. It is destructured without `..`, so that a new value
/// has to be added here.
fn values(queue: &Queue) -> Vec<Value> {
    let Queue {
        name: _,
        host,
        prefix,
        pool,
        priority,
        attempts,
        timeout,
        stretch,
        objective,
    } = queue;
    vec![
        ("host", host.to_string()),
        ("prefix", prefix.to_string()),
        ("pool", pool.to_string()),
        ("priority", priority.to_string()),
        ("attempts", attempts.to_string()),
        ("timeout", timeout.to_string()),
        ("stretch", optional(stretch.as_ref())),
        ("objective", optional(objective.as_ref())),
    ]
}

fn limits(limits: &Limits) -> Vec<Value> {
    let Limits {
        header_bytes,
        body_bytes,
        header_timeout,
        idle_timeout,
    } = limits;
    vec![
        ("header bytes", optional(header_bytes.as_ref())),
        ("body bytes", optional(body_bytes.as_ref())),
        (
            "header timeout",
            optional::<Millis>(header_timeout.as_ref()),
        ),
        ("idle timeout", optional::<Millis>(idle_timeout.as_ref())),
    ]
}

fn optional<T: Display>(value: Option<&T>) -> String {
    value.map_or_else(|| "none".to_owned(), T::to_string)
}

fn changed(before: &[Value], after: &[Value]) -> Vec<Field> {
    let pairs = before.iter().zip(after);
    pairs
        .filter(|((_, from), (_, to))| from != to)
        .map(|((name, from), (_, to))| Field {
            name,
            from: from.clone(),
            to: to.clone(),
        })
        .collect()
}
