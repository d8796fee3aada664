//! The arguments that say which deployment a command is about.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::construct;
use bpaf::long;
use bpaf::positional;
use bpaf::Parser;
use bpaf::ShellComp;
use primrose_table::value;

use crate::context::Target;

/// Accepts `--settings`, `--platform`, `--prefix`, `--router` and `--json`.
pub fn target() -> impl Parser<Target> {
    let settings = long("settings")
        .help("Settings file with the addresses of the service and the routers")
        .env("PRIMROSECTL_SETTINGS")
        .argument::<PathBuf>("FILE")
        .complete_shell(ShellComp::File { mask: None })
        .optional();
    let platform = long("platform")
        .help("Addresses of the key-value service, parted by commas")
        .env("PRIMROSECTL_PLATFORM")
        .argument::<String>("IP:PORT")
        .parse(addresses)
        .many()
        .map(|lists| lists.concat());
    let prefix = long("prefix")
        .help("What the keys of the deployment begin with")
        .env("PRIMROSECTL_PREFIX")
        .argument::<String>("PREFIX")
        .optional();
    let routers = long("router")
        .help("Addresses of routers' operator listeners, parted by commas")
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

/// Accepts `--json`.
pub fn json() -> impl Parser<bool> {
    long("json").help("Print JSON").switch()
}

/// Accepts the file with the tables.
pub fn file() -> impl Parser<PathBuf> {
    positional::<PathBuf>("FILE")
        .help("Document with the tables; - for standard input")
        .complete_shell(ShellComp::File { mask: None })
}
