//! The sample is valid, shows every key, and states the defaults that it calls so.

use primrose_settings::Settings;

use crate::support::LEAST;

const SAMPLE: &str = include_str!("../../../../samples/primrosed.ini");

#[test]
fn the_sample_is_valid_and_states_the_defaults() {
    let sample = Settings::parse("samples/primrosed.ini", SAMPLE).expect("sample");
    let least = Settings::parse("least.ini", LEAST).expect("least");
    assert_eq!(sample.limits, least.limits);
    assert_eq!(sample.platform.prefix, least.platform.prefix);
    assert_eq!(sample.router.zone, "barasat");
    assert_eq!(sample.peers.seeds.len(), 2);
    assert_eq!(sample.platform.addresses.len(), 2);
    assert_eq!(sample.day.time_zone, "Asia/Kolkata");
}

#[test]
fn what_may_be_left_out_has_a_default() {
    let least = Settings::parse("least.ini", LEAST).expect("least");
    assert!(least.peers.seeds.is_empty());
    assert!(least.platform.hosts.is_empty());
    assert_eq!(least.day.time_zone, "UTC");
    assert_eq!(least.limits.header_bytes, 16 << 10);
}

#[test]
fn listeners_may_all_leave_the_port_open() {
    let text = LEAST.replace(":80\n", ":0\n");
    let text = text.replace(":81\n", ":0\n").replace(":82\n", ":0\n");
    Settings::parse("open.ini", &text).expect("ports left to the system");
}
