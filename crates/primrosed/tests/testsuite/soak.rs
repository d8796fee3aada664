//! A short soak test; longer runs with new seeds are started by hand.

use std::path::PathBuf;
use std::time::Duration;

use primrose_soak::run::run_soak;
use primrose_soak::run::Options;

#[test]
fn a_short_soak_has_no_violations() {
    let options = Options {
        seed: 11,
        length: Duration::from_secs(8),
        gateways: 3,
        binary: PathBuf::from(env!("CARGO_BIN_EXE_primrosed")),
        dir: std::env::temp_dir().join(format!("soak-test-{}", std::process::id())),
        net: 99,
    };
    let report = run_soak(&options).expect("the soak runs");
    assert!(report.violations.is_empty(), "{:?}", report.violations);
    assert!(report.counts.whole > 0);
}
