//! Command line options of `primrosed`.

use std::path::PathBuf;

use bpaf::Parser;

/// Location of the settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// Path of the file.
    File(PathBuf),
    /// Environment variable that holds the path of the file.
    Variable(String),
}

/// Parsed command line options.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Whether to check the settings and exit.
    pub check: bool,
    /// Additional port that serves metrics; only used with platform settings.
    pub metrics_port: Option<u16>,
    /// Whether requests are placed by the cost that servers report; only used with platform settings.
    pub place_by_cost: bool,
    /// Location of the settings file.
    pub source: Source,
}

/// Returns the command line parser.
pub fn options() -> bpaf::OptionParser<Options> {
    let check = bpaf::long("check-settings")
        .help("Check the settings file, say what is wrong with it, and start nothing")
        .switch();
    let metrics_port = bpaf::long("metrics-port")
        .help("Serve metrics on this port too, where the platform gives the settings")
        .argument::<u16>("PORT")
        .optional();
    let place_by_cost = bpaf::long("place-by-cost")
        .help("Place requests by the speed and load that servers report, where the platform gives the settings")
        .switch();
    let variable = bpaf::long("settings-variable")
        .help("Environment variable that holds the path of the settings file")
        .argument::<String>("NAME")
        .map(Source::Variable);
    let file = bpaf::positional::<PathBuf>("SETTINGS")
        .help("Settings file, as in samples/primrosed.ini or as the platform writes it")
        .map(Source::File);
    let source = bpaf::construct!([variable, file]);
    bpaf::construct!(Options { check, metrics_port, place_by_cost, source })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Router daemon of the primrosehall fleet")
        .footer("Exit codes: 0 ended well, 1 failed to run, 2 bad settings or options, 3 ended with requests cut off")
}
