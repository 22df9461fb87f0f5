//! Runs the entry and the agent from a bench's own executable, so that they are
//! built together with the bench and at the same optimisation level.

use std::path::PathBuf;

/// Runs the entry or the agent if the command line requests that role, as the
/// fleet's launcher does. Does not return in that case.
pub fn run_if_requested() {
    let mut args = std::env::args().skip(1);
    let Some(role) = args.next() else {
        return;
    };
    let settings = args.next().map(PathBuf::from).unwrap_or_default();
    match role.as_str() {
        "role-entry" => entry(settings),
        "role-agent" => agent(settings),
        _ => {}
    }
}

fn entry(path: PathBuf) -> ! {
    let settings = filbertbend::settings::Settings::load(path).expect("the settings are valid");
    filbertbend_process::log::init(&settings.log).expect("the log can be opened");
    filbertbend::serve::run(settings).expect("the entry runs");
    std::process::exit(0)
}

fn agent(path: PathBuf) -> ! {
    let settings =
        filbertbend_agent::settings::Settings::load(path).expect("the settings are valid");
    filbertbend_process::log::init(&settings.log).expect("the log can be opened");
    filbertbend_agent::serve::run(settings).expect("the agent runs");
    std::process::exit(0)
}
