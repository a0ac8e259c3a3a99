//! `sequoiagw standin store`

use std::net::SocketAddr;

use clap::value_parser;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use eyre::WrapErr;
use sequoiagw_standin::MemoryStore;
use sequoiagw_standin::StoreServer;

use crate::cli_command::CliCommand;
use crate::cli_error::CliError;

pub(crate) const COMMAND: CliCommand = CliCommand {
    name: "store",
    build,
    run,
};

fn build() -> Command {
    Command::new(COMMAND.name)
        .about("Run a stand-in for the platform's store that keeps all data in memory")
        .after_help("Example: sequoiagw standin store --address 127.0.0.1:2379")
        .arg(
            Arg::new("address")
                .long("address")
                .default_value("127.0.0.1:2379")
                .value_parser(value_parser!(SocketAddr)),
        )
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let address = matches
        .get_one::<SocketAddr>("address")
        .copied()
        .ok_or_else(|| CliError::Invalid("no address is given".to_owned()))?;
    let store = MemoryStore::new(1);
    let _server = StoreServer::open(address, &store)
        .wrap_err_with(|| format!("{address} can't be bound; is it in use?"))?;
    eprintln!(
        "stand-in store at http://{address}, data is lost when it stops; stop it with Ctrl-C"
    );
    loop {
        std::thread::park();
    }
}
