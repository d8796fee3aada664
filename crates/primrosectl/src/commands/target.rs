//! The arguments that several commands share.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::construct;
use bpaf::long;
use bpaf::positional;
use bpaf::Parser;
use bpaf::ShellComp;
use primrose_table::value;

use crate::context::Target;

/// Parses `--settings`, `--platform`, `--prefix`, `--router` and `--json`.
pub fn target() -> impl Parser<Target> {
    let settings = long("settings")
        .help("Settings file with the addresses of the service and the routers")
        .env("PRIMROSECTL_SETTINGS")
        .argument::<PathBuf>("FILE")
        .complete_shell(ShellComp::File { mask: None })
        .optional();
    let platform = long("platform")
        .help("Addresses of the key-value service, separated by commas")
        .env("PRIMROSECTL_PLATFORM")
        .argument::<String>("IP:PORT")
        .parse(addresses)
        .many()
        .map(|lists| lists.concat());
    let prefix = long("prefix")
        .help("Prefix of all keys of the deployment")
        .env("PRIMROSECTL_PREFIX")
        .argument::<String>("PREFIX")
        .optional();
    let routers = long("router")
        .help("Addresses of routers' operator listeners, separated by commas")
        .env("PRIMROSECTL_ROUTER")
        .argument::<String>("IP:PORT")
        .parse(addresses)
        .many()
        .map(|lists| lists.concat());
    let json = json();
    construct!(Target {
        settings,
        platform,
        prefix,
        routers,
        json
    })
}

fn addresses(text: String) -> Result<Vec<SocketAddr>, String> {
    let parts = text.split(',').map(|part| value::addr(part.trim()));
    let addresses: Result<Vec<SocketAddr>, String> = parts.collect();
    addresses.map_err(|expected| format!("expected {expected}"))
}

/// Parses `--json`.
pub fn json() -> impl Parser<bool> {
    long("json").help("Print JSON").switch()
}

/// Parses the path of the file with the tables.
pub fn file() -> impl Parser<PathBuf> {
    positional::<PathBuf>("FILE")
        .help("Document with the tables; - for standard input")
        .complete_shell(ShellComp::File { mask: None })
}
