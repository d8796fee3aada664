//! Every fault names its file, line, section, key and the expected value.

use primrose_settings::operator::OperatorSettings;
use primrose_settings::Settings;

use crate::support::MINIMAL;

struct Case {
    from: &'static str,
    to: &'static str,
    shown: &'static str,
}

#[test]
fn each_fault_is_reported_with_its_location_and_expected_value() {
    let cases = [
        Case {
            from: "host = entry-1\n",
            to: "",
            shown: "s.ini:1: [router] host: expected a value, found none",
        },
        Case {
            from: "host = entry-1\n",
            to: "host = entry-1\nhots = x\n",
            shown: "s.ini:3: [router] hots: expected one of host, zone, region, found an unknown key",
        },
        Case {
            from: "callers = 10.0.0.1:80",
            to: "callers = localhost:80",
            shown: "s.ini:6: [listen] callers: expected an address by IP number with a port, such as 10.0.1.4:8000, found \"localhost:80\"",
        },
        Case {
            from: "peers = 10.0.0.1:81",
            to: "peers = 10.0.0.1:80",
            shown: "s.ini:7: [listen] peers: expected an address that no other listener has, found the address of callers",
        },
        Case {
            from: "addresses = 10.0.0.9:2379",
            to: "addresses = 10.0.0.9:2379,",
            shown: "s.ini:10: [platform] addresses: expected addresses by IP number with a port, separated by commas, found \"10.0.0.9:2379,\"",
        },
        Case {
            from: "[platform]\naddresses = 10.0.0.9:2379\n",
            to: "",
            shown: "s.ini: [platform] expected a [platform] section, found none",
        },
        Case {
            from: "[security]",
            to: "[peers]\nseeds = a=z@10.0.0.2:81, a=z@10.0.0.3:81\n[security]",
            shown: "s.ini:12: [peers] seeds: expected each host and address once, found host a or its address twice",
        },
        Case {
            from: "[security]",
            to: "[peers]\nseeds = z@10.0.0.2:81\n[security]",
            shown: "s.ini:12: [peers] seeds: expected HOST=ZONE@IP:PORT, several separated by commas, found \"z@10.0.0.2:81\"",
        },
        Case {
            from: "[security]",
            to: "[limits]\nheader-size = 4B\n[security]",
            shown: "s.ini:12: [limits] header-size: expected a size of at least 1KiB, found \"4B\"",
        },
        Case {
            from: "[security]",
            to: "[day]\ntime-zone = Barasat\n[security]",
            shown: "s.ini:12: [day] time-zone: expected a time zone by its IANA name, such as Asia/Kolkata, found \"Barasat\"",
        },
        Case {
            from: "[security]",
            to: "[logging]\nlevel = info\n[security]",
            shown: "s.ini:11: [logging] expected one of the sections router, listen, peers, platform, security, limits, day, found an unknown section",
        },
        Case {
            from: "[security]",
            to: "[router]\nhost = b\n[security]",
            shown: "s.ini:11: [router] expected each section once, found a duplicate of line 1",
        },
    ];
    for case in cases {
        assert!(MINIMAL.contains(case.from), "no {:?} to edit", case.from);
        let text = MINIMAL.replacen(case.from, case.to, 1);
        let faults = Settings::parse("s.ini", &text).expect_err(case.shown);
        assert_eq!(faults.to_string(), case.shown);
    }
}

#[test]
fn all_faults_are_reported_at_once() {
    let text = MINIMAL.replace("zone =", "zome =").replace(":2379", "");
    let faults = Settings::parse("s.ini", &text).expect_err("three faults").0;
    let lines: Vec<u32> = faults.iter().map(|fault| fault.line).collect();
    assert_eq!(lines, [1, 3, 10]);
}

#[test]
fn operator_settings_are_validated() {
    let cases = [
        Case {
            from: "",
            to: "[platform]\naddresses = kv:2379\n",
            shown: "c.ini:2: [platform] addresses: expected addresses by IP number with a port, separated by commas, found \"kv:2379\"",
        },
        Case {
            from: "",
            to: "[router]\nhost = a\n",
            shown: "c.ini:1: [router] expected one of the sections platform, routers, found an unknown section",
        },
        Case {
            from: "",
            to: "[routers]\naddress = 10.0.0.1:82\n",
            shown: "c.ini:2: [routers] address: expected one of addresses, found an unknown key",
        },
    ];
    for case in cases {
        let faults = OperatorSettings::parse("c.ini", case.to).expect_err(case.shown);
        assert_eq!(faults.to_string(), case.shown);
    }
    assert_eq!(
        OperatorSettings::parse("c.ini", ""),
        Ok(OperatorSettings::default())
    );
}
