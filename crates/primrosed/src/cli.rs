//! The options of `primrosed`.

use std::path::PathBuf;

use bpaf::Parser;

/// What the program is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Settings file.
    pub settings: PathBuf,
    /// Only check the settings.
    pub check: bool,
}

/// Describes the options.
pub fn options() -> bpaf::OptionParser<Options> {
    let check = bpaf::long("check-settings")
        .help("Check the settings file, say what is wrong with it, and start nothing")
        .switch();
    let settings =
        bpaf::positional::<PathBuf>("SETTINGS").help("Settings file, as in samples/primrosed.ini");
    bpaf::construct!(Options { check, settings })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Router daemon of the primrosehall fleet")
        .footer("Exit codes: 0 ended well, 1 failed to run, 2 bad settings or options, 3 ended with requests cut off")
}
