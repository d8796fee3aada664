//! The sample file is valid and states the actual defaults.

use primrose_settings::Settings;

use crate::support::MINIMAL;

const SAMPLE: &str = include_str!("../../../../samples/primrosed.ini");

#[test]
fn the_sample_is_valid_and_matches_the_defaults() {
    let sample = Settings::parse("samples/primrosed.ini", SAMPLE).expect("sample");
    let minimal = Settings::parse("least.ini", MINIMAL).expect("least");
    assert_eq!(sample.limits, minimal.limits);
    assert_eq!(sample.platform.prefix, minimal.platform.prefix);
    assert_eq!(sample.router.zone, "barasat");
    assert_eq!(sample.peers.seeds.len(), 2);
    assert_eq!(sample.platform.addresses.len(), 2);
    assert_eq!(sample.day.time_zone, "Asia/Kolkata");
}

#[test]
fn optional_settings_have_defaults() {
    let minimal = Settings::parse("least.ini", MINIMAL).expect("least");
    assert!(minimal.peers.seeds.is_empty());
    assert!(minimal.platform.hosts.is_empty());
    assert_eq!(minimal.day.time_zone, "UTC");
    assert_eq!(minimal.limits.header_bytes, 16 << 10);
}

#[test]
fn several_listeners_may_use_port_0() {
    let text = MINIMAL.replace(":80\n", ":0\n");
    let text = text.replace(":81\n", ":0\n").replace(":82\n", ":0\n");
    Settings::parse("open.ini", &text).expect("ports left to the system");
}
