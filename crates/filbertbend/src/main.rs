//! Command line of the entry process and of the operators' commands.

use {
    filbertbend::{cli, serve, settings::Settings},
    std::process::ExitCode,
};

fn run(settings: Settings) -> ExitCode {
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

fn main() -> ExitCode {
    cli::main(run)
}
