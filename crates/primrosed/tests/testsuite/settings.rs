//! Settings on the command line: checked, named, and nothing started.

use std::net::SocketAddr;
use std::process::Command;

use crate::platform_world::settings;

struct Case {
    name: &'static str,
    arguments: &'static [&'static str],
    text: &'static str,
    code: i32,
    said: &'static [&'static str],
}

const GOOD: &str = include_str!("../../../../samples/primrosed.ini");

#[test]
fn bad_settings_end_with_a_message_and_start_nothing() {
    let cases = [
        Case {
            name: "the sample",
            arguments: &["--check-settings"],
            text: GOOD,
            code: 0,
            said: &["Checked"],
        },
        Case {
            name: "unknown key",
            arguments: &["--check-settings"],
            text: "[router]\nhost = a\nzone = b\nregion = c\ncolour = red\n",
            code: 2,
            said: &["settings.ini:5", "colour"],
        },
        Case {
            name: "bad value, without the check option",
            arguments: &[],
            text: "[router]\nhost = a\nzone = b\nregion = c\n[listen]\ncallers = here\n",
            code: 2,
            said: &["settings.ini:6", "callers"],
        },
        Case {
            name: "missing section",
            arguments: &["--check-settings"],
            text: "[router]\nhost = a\nzone = b\nregion = c\n",
            code: 2,
            said: &["listen"],
        },
        Case {
            name: "unknown option",
            arguments: &["--colour"],
            text: GOOD,
            code: 2,
            said: &["--colour"],
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
        let said = [output.stdout, output.stderr].concat();
        let said = String::from_utf8(said).unwrap();
        assert_eq!(
            output.status.code(),
            Some(case.code),
            "{}: {said}",
            case.name
        );
        for part in case.said {
            assert!(said.contains(part), "{}: {said}", case.name);
        }
    }
    std::fs::remove_dir_all(&dir).unwrap();
}

#[test]
fn settings_of_the_platform_are_checked_too() {
    let addr = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let good = settings(addr(1), addr(2), addr(3), addr(4));
    let mut lacking = good.clone();
    lacking.as_object_mut().unwrap().remove("platform");
    let mut odd = good.clone();
    odd["listen"]["front"] = "here".into();
    let cases = [
        ("good", good.to_string(), 0, "Checked"),
        ("without a store", lacking.to_string(), 2, "platform"),
        (
            "an address that is none",
            odd.to_string(),
            2,
            "socket address",
        ),
        ("cut off", good.to_string()[..90].to_owned(), 2, "boot.json"),
    ];
    let dir = std::env::temp_dir().join(format!("primrosed-boot-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let file = dir.join("boot.json");
    for (name, text, code, part) in cases {
        std::fs::write(&file, text).unwrap();
        let output = Command::new(env!("CARGO_BIN_EXE_primrosed"))
            .args(["--check-settings", "--settings-variable", "BOOT"])
            .env("BOOT", &file)
            .output()
            .unwrap();
        let said = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
        assert_eq!(output.status.code(), Some(code), "{name}: {said}");
        assert!(said.contains(part), "{name}: {said}");
    }
    std::fs::remove_dir_all(&dir).unwrap();
}
