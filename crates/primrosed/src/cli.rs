//! The options of `primrosed`.

use std::path::PathBuf;

use bpaf::Parser;

/// Where the settings are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// A file.
    File(PathBuf),
    /// A file that an environment variable names.
    Variable(String),
}

/// What the program is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Only check the settings.
    pub check: bool,
    /// Port for metrics beside the control listener, on the platform.
    pub metrics_port: Option<u16>,
    /// Settings.
    pub source: Source,
}

/// Describes the options.
pub fn options() -> bpaf::OptionParser<Options> {
    let check = bpaf::long("check-settings")
        .help("Check the settings file, say what is wrong with it, and start nothing")
        .switch();
    let metrics_port = bpaf::long("metrics-port")
        .help("Serve metrics on this port too, where the platform gives the settings")
        .argument::<u16>("PORT")
        .optional();
    let variable = bpaf::long("settings-variable")
        .help("Environment variable that holds the path of the settings file")
        .argument::<String>("NAME")
        .map(Source::Variable);
    let file = bpaf::positional::<PathBuf>("SETTINGS")
        .help("Settings file, as in samples/primrosed.ini or as the platform writes it")
        .map(Source::File);
    let source = bpaf::construct!([variable, file]);
    bpaf::construct!(Options { check, metrics_port, source })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Router daemon of the primrosehall fleet")
        .footer("Exit codes: 0 ended well, 1 failed to run, 2 bad settings or options, 3 ended with requests cut off")
}
