//! A diff shows each change in rows that an operator can edit.

use primrose_table::diff::diff;
use primrose_table::diff::Change;
use primrose_table::document::Document;

use crate::support::edited;
use crate::support::VALID;

struct Case {
    name: &'static str,
    from: &'static str,
    to: &'static str,
    shown: &'static str,
}

fn changes(older: &str, newer: &str) -> Vec<Change> {
    let older = Document::parse("older", older).expect("older");
    let newer = Document::parse("newer", newer).expect("newer");
    diff(&older.table, &newer.table)
}

#[test]
fn each_change_is_shown_once() {
    let cases = [
        Case {
            name: "nothing but comments, defaults and the generation",
            from: "generation = 7",
            to: "; a comment\ngeneration = 8",
            shown: "",
        },
        Case {
            name: "a default written out",
            from: "weight.large = 4",
            to: "weight.large = 4\ndefault-weight = 1",
            shown: "",
        },
        Case {
            name: "a value",
            from: "deadline = 30s",
            to: "deadline = 45s",
            shown: "~ [route chat]\n  - deadline = 30s\n  + deadline = 45s",
        },
        Case {
            name: "a server more",
            from: "server.e2 = b@10.0.0.2:80",
            to: "server.e2 = b@10.0.0.2:80\nserver.e3 = c@10.0.0.3:80",
            shown: "~ [pool engines]\n  + server.e3 = c@10.0.0.3:80",
        },
        Case {
            name: "a weight less",
            from: "weight.large = 4\n",
            to: "",
            shown: "~ [pool engines]\n  - weight.large = 4",
        },
    ];
    for case in cases {
        let changes = changes(VALID, &edited(case.from, case.to));
        let shown: Vec<String> = changes.iter().map(ToString::to_string).collect();
        assert_eq!(shown.join("\n"), case.shown, "{}", case.name);
    }
}

#[test]
fn a_renamed_route_is_removed_and_added() {
    let newer = edited("[route chat]", "[route talk]");
    let shown: Vec<String> = changes(VALID, &newer)
        .iter()
        .map(|change| {
            change
                .to_string()
                .lines()
                .next()
                .unwrap_or_default()
                .to_owned()
        })
        .collect();
    assert_eq!(shown, ["- [route chat]", "+ [route talk]"]);
}
