//! Command line of the agent, the process that runs next to an endpoint.

use {
    bpaf::{construct, long, OptionParser, Parser},
    filbertbend_agent::{serve, settings::Settings},
    std::{path::PathBuf, process::ExitCode},
};

fn options() -> OptionParser<PathBuf> {
    let settings = long("settings")
        .short('s')
        .help("The settings file of this agent")
        .argument::<PathBuf>("FILE");
    construct!(settings)
        .to_options()
        .descr("Runs beside an endpoint and its worker, and serves the entries of its region.")
        .footer("Example: filbertbend-agent --settings agent.yaml\nExit codes: 0 left after SIGTERM, 1 failed, 2 usage or faulty settings.")
}

fn main() -> ExitCode {
    let path = options().run();
    let settings = match Settings::load(&path) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                eprintln!("{:?}", miette::Report::new(fault));
            }
            return ExitCode::from(2);
        }
    };
    if let Err(error) = filbertbend_process::log::init(&settings.log) {
        eprintln!("cannot open the log: {error}");
        return ExitCode::FAILURE;
    }
    match serve::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{:?}", miette::miette!("{error}"));
            ExitCode::FAILURE
        }
    }
}
