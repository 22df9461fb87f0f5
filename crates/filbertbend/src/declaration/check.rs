//! Checks the services of all files against each other.

use {
    super::ParsedService,
    filbertbend_state::{id, unit::Share},
    filbertbend_yaml::{Code, Fault},
    std::collections::{BTreeMap, BTreeSet},
};

/// Reports each service whose name an earlier service already has.
pub(super) fn duplicate_names(services: &[ParsedService]) -> Vec<Fault> {
    let mut first: BTreeMap<&id::Service, &ParsedService> = BTreeMap::new();
    let mut faults = Vec::new();
    for service in services {
        let name = &service.name.value;
        let Some(earlier) = first.get(name) else {
            first.insert(name, service);
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
            file: service.file.clone(),
            span: Some(service.name.span),
        });
    }
    faults
}

/// Reports, for each data centre, the service whose share takes the sum over
/// 100%. A service that lists no data centre counts in each of them.
pub(super) fn exceeded_shares(services: &[ParsedService]) -> Vec<Fault> {
    let named: BTreeSet<&id::DataCentre> = services
        .iter()
        .flat_map(|service| &service.data_centres)
        .collect();
    let centres = named.into_iter().map(Some).chain([None]);
    let mut reported = BTreeSet::new();
    centres
        .filter_map(|centre| exceeded_share(services, centre))
        .filter(|(index, _)| reported.insert(*index))
        .map(|(_, fault)| fault)
        .collect()
}

/// Checks the sum of shares in one data centre; `None` stands for any data
/// centre that no service lists. Returns the fault and the index of its service.
fn exceeded_share(
    services: &[ParsedService],
    centre: Option<&id::DataCentre>,
) -> Option<(usize, Fault)> {
    let applies = |service: &&ParsedService| match centre {
        Some(centre) => service.data_centres.is_empty() || service.data_centres.contains(centre),
        None => service.data_centres.is_empty(),
    };
    let thousandths = |service: &ParsedService| {
        let share = service.share.as_ref();
        share.map_or(0, |spot| u64::from(spot.value.thousandths()))
    };
    let full = u64::from(Share::FULL.thousandths());
    let sum: u64 = services.iter().filter(applies).map(thousandths).sum();
    let mut running_sum = 0;
    let (index, service) = services.iter().enumerate().find(|(_, service)| {
        if applies(service) {
            running_sum += thousandths(service);
        }
        running_sum > full
    })?;
    let location = centre.map_or_else(String::new, |centre| format!(" in data centre `{centre}`"));
    let fault = Fault {
        code: Code::ShareExceeded,
        message: format!(
            "the shares of all services add up to {}.{}%{location}, more than 100%",
            sum / 10,
            sum % 10
        )
        .into(),
        fix: "lower the shares; only guaranteed capacity counts, idle capacity is lent anyway"
            .into(),
        file: service.file.clone(),
        span: service.share.as_ref().map(|spot| spot.span),
    };
    Some((index, fault))
}
