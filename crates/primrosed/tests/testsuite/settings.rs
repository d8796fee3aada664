//! Checks of settings files on the command line: exit code and message, without starting anything.

use std::net::SocketAddr;
use std::process::Command;

use crate::gateway_fixture::settings;

struct Case {
    name: &'static str,
    arguments: &'static [&'static str],
    text: &'static str,
    code: i32,
    expected: &'static [&'static str],
}

const GOOD: &str = include_str!("../../../../samples/primrosed.ini");

#[test]
fn settings_are_checked_and_faults_are_reported() {
    let cases = [
        Case {
            name: "the sample",
            arguments: &["--check-settings"],
            text: GOOD,
            code: 0,
            expected: &["Checked"],
        },
        Case {
            name: "unknown key",
            arguments: &["--check-settings"],
            text: "[router]\nhost = a\nzone = b\nregion = c\ncolour = red\n",
            code: 2,
            expected: &["settings.ini:5", "colour"],
        },
        Case {
            name: "bad value, without the check option",
            arguments: &[],
            text: "[router]\nhost = a\nzone = b\nregion = c\n[listen]\ncallers = here\n",
            code: 2,
            expected: &["settings.ini:6", "callers"],
        },
        Case {
            name: "missing section",
            arguments: &["--check-settings"],
            text: "[router]\nhost = a\nzone = b\nregion = c\n",
            code: 2,
            expected: &["listen"],
        },
        Case {
            name: "unknown option",
            arguments: &["--colour"],
            text: GOOD,
            code: 2,
            expected: &["--colour"],
        },
    ];
    let dir = std::env::temp_dir().join(format!("primrosed-check-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let file = dir.join("settings.ini");
    for case in cases {
        std::fs::write(&file, case.text).unwrap();
        let output = Command::new(env!("CARGO_BIN_EXE_primrosed"))
            .args(case.arguments)
            .arg(&file)
            .output()
            .unwrap();
        let output_text = [output.stdout, output.stderr].concat();
        let output_text = String::from_utf8(output_text).unwrap();
        assert_eq!(
            output.status.code(),
            Some(case.code),
            "{}: {output_text}",
            case.name
        );
        for expected in case.expected {
            assert!(
                output_text.contains(expected),
                "{}: {output_text}",
                case.name
            );
        }
    }
    std::fs::remove_dir_all(&dir).unwrap();
}

#[test]
fn platform_settings_are_checked_and_faults_are_reported() {
    let addr = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let good = settings(addr(1), addr(2), addr(3), addr(4));
    let mut without_platform = good.clone();
    without_platform.as_object_mut().unwrap().remove("platform");
    let mut bad_address = good.clone();
    bad_address["listen"]["front"] = "here".into();
    let cases = [
        ("good", good.to_string(), 0, "Checked"),
        (
            "without a store",
            without_platform.to_string(),
            2,
            "platform",
        ),
        (
            "an invalid address",
            bad_address.to_string(),
            2,
            "socket address",
        ),
        (
            "truncated",
            good.to_string()[..90].to_owned(),
            2,
            "boot.json",
        ),
    ];
    let dir = std::env::temp_dir().join(format!("primrosed-boot-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let file = dir.join("boot.json");
    for (name, text, code, expected) in cases {
        std::fs::write(&file, text).unwrap();
        let output = Command::new(env!("CARGO_BIN_EXE_primrosed"))
            .args(["--check-settings", "--settings-variable", "BOOT"])
            .env("BOOT", &file)
            .output()
            .unwrap();
        let output_text = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
        assert_eq!(output.status.code(), Some(code), "{name}: {output_text}");
        assert!(output_text.contains(expected), "{name}: {output_text}");
    }
    std::fs::remove_dir_all(&dir).unwrap();
}
