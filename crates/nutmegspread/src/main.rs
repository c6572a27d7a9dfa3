//! The `nutmegspread` binary: parses the command line and runs one command.

use nutmegspread::command;
use nutmegspread::flags::{Nutmegspread, NutmegspreadCmd};
use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = Nutmegspread::from_env_or_exit();
    let result = match flags.subcommand {
        NutmegspreadCmd::CheckConfiguration(flags) => return command::check_configuration(&flags),
        NutmegspreadCmd::Serve(flags) => command::serve(&flags),
        NutmegspreadCmd::Edge(flags) => command::edge(&flags),
        NutmegspreadCmd::Check(flags) => command::check(&flags),
        NutmegspreadCmd::Diff(flags) => command::diff(&flags),
        NutmegspreadCmd::Apply(flags) => command::apply(&flags),
        NutmegspreadCmd::Status(flags) => command::status(&flags),
        NutmegspreadCmd::Dump(flags) => command::dump(&flags),
        NutmegspreadCmd::Demo(_) => command::demo(),
        NutmegspreadCmd::Load(flags) => command::load(&flags),
        NutmegspreadCmd::Capacity(flags) => command::capacity(&flags),
        NutmegspreadCmd::StandinPlatform(flags) => command::standin_platform(&flags),
        NutmegspreadCmd::StandinSearcher(flags) => command::standin_searcher(&flags),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("nutmegspread: {error}");
            ExitCode::FAILURE
        }
    }
}
