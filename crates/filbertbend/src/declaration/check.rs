//! Checks the services of all files against each other.

use {
    super::Declared,
    filbertbend_state::{id, unit::Share},
    filbertbend_yaml::{Code, Fault},
    std::collections::{BTreeMap, BTreeSet},
};

/// Reports each name that is declared again.
pub(super) fn duplicates(declared: &[Declared]) -> Vec<Fault> {
    let mut first: BTreeMap<&id::Service, &Declared> = BTreeMap::new();
    let mut faults = Vec::new();
    for one in declared {
        let name = &one.name.value;
        let Some(earlier) = first.get(name) else {
            first.insert(name, one);
            continue;
        };
        let (line, _) = earlier.file.position(earlier.name.span.start);
        faults.push(Fault {
            code: Code::Duplicate,
            message: format!(
                "the service `{name}` is already declared in {}, line {line}",
                earlier.file.name()
            )
            .into(),
            fix: "rename or remove one of the two".into(),
            file: one.file.clone(),
            span: Some(one.name.span),
        });
    }
    faults
}

/// Reports the service whose share first raises the sum of a data centre over
/// the whole. A service that names no data centre counts in each of them.
pub(super) fn shares(declared: &[Declared]) -> Vec<Fault> {
    let named: BTreeSet<&id::DataCentre> =
        declared.iter().flat_map(|one| &one.data_centres).collect();
    let places = named.into_iter().map(Some).chain([None]);
    let mut reported = BTreeSet::new();
    places
        .filter_map(|place| exceeded(declared, place))
        .filter(|(index, _)| reported.insert(*index))
        .map(|(_, fault)| fault)
        .collect()
}

/// Checks one data centre, or with `None` one that no service names.
fn exceeded(declared: &[Declared], place: Option<&id::DataCentre>) -> Option<(usize, Fault)> {
    let counts = |one: &&Declared| match place {
        Some(place) => one.data_centres.is_empty() || one.data_centres.contains(place),
        None => one.data_centres.is_empty(),
    };
    let thousandths = |one: &Declared| {
        let share = one.share.as_ref();
        share.map_or(0, |spot| u64::from(spot.value.thousandths()))
    };
    let whole = u64::from(Share::FULL.thousandths());
    let sum: u64 = declared.iter().filter(counts).map(thousandths).sum();
    let mut so_far = 0;
    let (index, one) = declared.iter().enumerate().find(|(_, one)| {
        if counts(one) {
            so_far += thousandths(one);
        }
        so_far > whole
    })?;
    let at = place.map_or_else(String::new, |place| format!(" in data centre `{place}`"));
    let fault = Fault {
        code: Code::ShareExceeded,
        message: format!(
            "the shares of all services add up to {}.{}%{at}, more than 100%",
            sum / 10,
            sum % 10
        )
        .into(),
        fix: "lower the shares; only guaranteed capacity counts, idle capacity is lent anyway"
            .into(),
        file: one.file.clone(),
        span: one.share.as_ref().map(|spot| spot.span),
    };
    Some((index, fault))
}
