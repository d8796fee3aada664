//! Every fault is reported with its line, section, key and the expected value.

use primrose_table::document::Document;
use primrose_table::ini::Fault;
use primrose_table::ini::FaultKind;

use crate::support::edited;
use crate::support::VALID;

/// One edit of the valid document and the single fault that it must cause.
pub(crate) struct Case {
    pub(crate) name: &'static str,
    pub(crate) from: &'static str,
    pub(crate) to: &'static str,
    pub(crate) kind: FaultKind,
    pub(crate) line: u32,
    pub(crate) section: &'static str,
    pub(crate) key: &'static str,
    pub(crate) expected: &'static str,
}

impl Case {
    pub(crate) const DEFAULT: Self = Self {
        name: "",
        from: "",
        to: "",
        kind: FaultKind::BadValue,
        line: 0,
        section: "",
        key: "",
        expected: "",
    };

    pub(crate) fn check(&self) {
        let text = edited(self.from, self.to);
        let faults = Document::parse("t.ini", &text).expect_err(self.name).0;
        let [fault] = &faults[..] else {
            panic!("{}: one fault expected, found {faults:#?}", self.name);
        };
        self.check_fault(fault);
    }

    fn check_fault(&self, fault: &Fault) {
        assert_eq!(fault.kind, self.kind, "{}: {fault}", self.name);
        assert_eq!(fault.line, self.line, "{}: {fault}", self.name);
        assert_eq!(fault.section, self.section, "{}: {fault}", self.name);
        assert_eq!(fault.key, self.key, "{}: {fault}", self.name);
        let shown = fault.to_string();
        assert!(shown.starts_with("t.ini:"), "{}: {shown}", self.name);
        let has = shown.contains(self.expected);
        assert!(has, "{}: {shown} lacks {}", self.name, self.expected);
    }
}

#[test]
fn the_valid_document_has_no_faults() {
    Document::parse("t.ini", VALID).expect("valid");
}

#[test]
fn invalid_keys_and_sections_are_reported() {
    let cases = [
        Case {
            name: "unknown key",
            from: "cost = 500",
            to: "cost = 500\ndeadine = 3s",
            kind: FaultKind::UnknownKey,
            line: 10,
            section: "route chat",
            key: "deadine",
            expected: "one of model, path, pool, deadline, idempotent, cost",
        },
        Case {
            name: "missing key",
            from: "idempotent = yes\n",
            to: "",
            kind: FaultKind::MissingKey,
            line: 4,
            section: "route chat",
            key: "idempotent",
            expected: "a value, found none",
        },
        Case {
            name: "neither model nor path",
            from: "model = small\n",
            to: "",
            kind: FaultKind::MissingKey,
            line: 4,
            section: "route chat",
            key: "model",
            expected: "either model or path",
        },
        Case {
            name: "both model and path",
            from: "model = small\n",
            to: "model = small\npath = /x\n",
            line: 6,
            section: "route chat",
            key: "path",
            expected: "either model or path, found both",
            ..Case::DEFAULT
        },
        Case {
            name: "neither service nor servers",
            from: "service = order\n",
            to: "",
            kind: FaultKind::MissingKey,
            line: 24,
            section: "pool orders",
            key: "service",
            expected: "service or server.NAME lines",
        },
        Case {
            name: "both service and servers",
            from: "service = order\n",
            to: "service = order\nserver.o = a@10.0.0.9:80\n",
            line: 27,
            section: "pool orders",
            key: "server.o",
            expected: "found both",
            ..Case::DEFAULT
        },
        Case {
            name: "key twice",
            from: "cost = 500",
            to: "cost = 500\ncost = 600",
            kind: FaultKind::Duplicate,
            line: 10,
            section: "route chat",
            key: "cost",
            expected: "a duplicate of line 9",
        },
        Case {
            name: "section twice",
            from: "[pool orders]",
            to: "[pool  engines]\nmax-slots = 9\n[pool orders]",
            kind: FaultKind::Duplicate,
            line: 24,
            section: "pool  engines",
            key: "",
            expected: "a duplicate of line 16",
        },
        Case {
            name: "unknown section",
            from: "[route order]",
            to: "[queue x]\nsize = 3\n[route order]",
            kind: FaultKind::UnknownSection,
            line: 10,
            section: "queue x",
            key: "",
            expected: "[route NAME] or [pool NAME]",
        },
        Case {
            name: "header without end",
            from: "[route order]",
            to: "[queue x\nsize = 3\n[route order]",
            kind: FaultKind::Syntax,
            line: 10,
            section: "",
            key: "",
            expected: "a section header",
        },
        Case {
            name: "line without =",
            from: "cost = 500",
            to: "cost = 500\n# hash",
            kind: FaultKind::Syntax,
            line: 10,
            section: "route chat",
            key: "",
            expected: "a comment that begins with ;",
        },
        Case {
            name: "no name",
            from: "[route chat]",
            to: "[route]",
            line: 4,
            section: "route",
            key: "",
            expected: "a name of up to 64",
            ..Case::DEFAULT
        },
        Case {
            name: "no header",
            from: "[document]\ngeneration = 7\nchange = 00000000000000aa\n",
            to: "",
            kind: FaultKind::MissingSection,
            line: 0,
            section: "",
            key: "",
            expected: "a [document] section",
        },
        Case {
            name: "key before the first section",
            from: "[document]",
            to: "early = 1\n[document]",
            kind: FaultKind::Syntax,
            line: 1,
            section: "",
            key: "",
            expected: "a section header before the first key",
        },
    ];
    for case in cases {
        case.check();
    }
}

#[test]
fn invalid_references_and_duplicates_are_reported() {
    let cases = [
        Case {
            name: "route to a pool that is not there",
            from: "pool = engines",
            to: "pool = engine",
            kind: FaultKind::Reference,
            line: 6,
            section: "route chat",
            key: "pool",
            expected: "no [pool engine]",
        },
        Case {
            name: "path to engines",
            from: "pool = orders",
            to: "pool = engines",
            kind: FaultKind::Reference,
            line: 12,
            section: "route order",
            key: "pool",
            expected: "a pool of kind plain",
        },
        Case {
            name: "deadline beyond the longest run",
            from: "deadline = 30s",
            to: "deadline = 61s",
            line: 7,
            section: "route chat",
            key: "deadline",
            expected: "the pool's longest-run, 1m",
            ..Case::DEFAULT
        },
        Case {
            name: "model in two routes",
            from: "[route order]",
            to: "[route dup]\nmodel = small\npool = engines\ndeadline = 1s\nidempotent = yes\ncost = 1\n[route order]",
            kind: FaultKind::Duplicate,
            line: 11,
            section: "route dup",
            key: "model",
            expected: "[route chat]",
        },
        Case {
            name: "address twice",
            from: "b@10.0.0.2:80",
            to: "b@10.0.0.1:80",
            kind: FaultKind::Duplicate,
            line: 19,
            section: "pool engines",
            key: "server.e2",
            expected: "each address once",
        },
        Case {
            name: "server in two pools",
            from: "service = order",
            to: "server.e1 = a@10.0.0.7:80",
            kind: FaultKind::Duplicate,
            line: 26,
            section: "pool orders",
            key: "server.e1",
            expected: "each server in one pool",
        },
    ];
    for case in cases {
        case.check();
    }
}

#[test]
fn all_faults_are_reported_at_once_sorted_by_line() {
    let text = VALID
        .replace("deadline = 30s", "deadline = soon")
        .replace("kind = plain", "kind = plane")
        .replace("cost = 1\n", "cost = one\n");
    let faults = Document::parse("t.ini", &text).expect_err("three faults").0;
    let lines: Vec<u32> = faults.iter().map(|fault| fault.line).collect();
    assert_eq!(lines, [7, 15, 25]);
}

#[test]
fn a_document_above_the_size_limit_is_rejected() {
    let text = format!("{VALID};{}\n", "x".repeat(1_000_000));
    let faults = Document::parse("t.ini", &text).expect_err("too large").0;
    assert!(faults[0].to_string().contains("at most 1000000 bytes"));
}

#[test]
fn line_numbers_are_correct_for_every_line_ending() {
    for end in ["\r\n", "\r", "\n"] {
        let text = edited("deadline = 30s", "deadline = soon").replace('\n', end);
        let faults = Document::parse("t.ini", &text).expect_err("one fault").0;
        assert_eq!(faults[0].line, 7, "line end {end:?}");
    }
}
