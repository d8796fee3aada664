//! Whatever text arrives, reading gives settings or faults, never a panic.

use primrose_settings::Settings;
use primrose_support::seeded::checker;

use crate::support::MINIMAL;

fn has_faults(text: &str) -> bool {
    Settings::parse("s.ini", text).map_or_else(|faults| !faults.0.is_empty(), |_| true)
}

#[test]
fn any_text() {
    fn holds(text: String) -> bool {
        has_faults(&text)
    }
    checker().quickcheck(holds as fn(String) -> bool);
}

#[test]
fn any_value_of_any_line() {
    fn holds(line: usize, value: String) -> bool {
        let mut lines: Vec<String> = MINIMAL.lines().map(str::to_owned).collect();
        let count = lines.len();
        let target = &mut lines[line % count];
        let key = target.split('=').next().unwrap_or_default();
        *target = format!("{key}={value}");
        has_faults(&lines.join("\n"))
    }
    checker().quickcheck(holds as fn(usize, String) -> bool);
}

#[test]
fn any_limit() {
    fn holds(value: String) -> bool {
        let keys = "header-size body-size connections header-timeout shutdown-limit";
        let rows = keys.split(' ').map(|key| format!("{key} = {value}\n"));
        has_faults(&format!("{MINIMAL}[limits]\n{}", rows.collect::<String>()))
    }
    checker().quickcheck(holds as fn(String) -> bool);
}
