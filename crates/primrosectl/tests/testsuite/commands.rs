//! Tests of the command line: arguments, output and exit codes.

use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;

use bpaf::Args;
use primrose_store::memory::Fault;
use primrose_store::memory::MemoryStore;
use primrose_store::store::Op;
use primrose_store::store::Store;
use primrose_support::clock::FakeClock;
use primrose_table::header::Header;
use primrosectl::commands;
use primrosectl::context::Context;
use primrosectl::exit::Exit;
use primrosectl::ops::keys::Keys;
use primrosectl::ops::random::Random;
use primrosectl::ops::random::RandomError;
use primrosectl::ops::random::KEY_BYTES;
use primrosectl::shell::Shell;

use crate::fleet::router;
use crate::fleet::FakeFleet;
use crate::support::file;
use crate::support::NoSleep;
use crate::support::KEY;

/// A writer whose bytes the test can read back.
#[derive(Debug, Clone, Default)]
struct Buffer(Arc<Mutex<Vec<u8>>>);

impl Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("lock").write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Buffer {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().expect("lock").clone()).expect("text")
    }
}

/// A source of fixed numbers instead of random ones.
struct FixedRandom;

impl Random for FixedRandom {
    fn key(&mut self) -> Result<[u8; KEY_BYTES], RandomError> {
        Ok([7; KEY_BYTES])
    }

    fn change(&mut self) -> Result<u64, RandomError> {
        Ok(0xc0de)
    }
}

/// One deployment and a directory for operators' files, which is removed at the end.
struct Fixture {
    store: Arc<MemoryStore>,
    dir: PathBuf,
}

/// Result of one run of the program.
struct Output {
    exit: Exit,
    out: String,
    err: String,
}

impl Fixture {
    fn new(name: &str) -> Self {
        let store = Arc::new(MemoryStore::new(Arc::new(FakeClock::new())));
        let value = file(1, 1, 30).into_bytes();
        store.commit(&[Op::create(KEY, value)]).expect("no fault");
        let dir = std::env::temp_dir().join(format!("primrosectl-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("directory");
        Self { store, dir }
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.dir.join(name);
        std::fs::write(&path, text).expect("file");
        path.display().to_string()
    }

    fn run(&self, args: &[&str]) -> Output {
        let (out, err) = (Buffer::default(), Buffer::default());
        let command = match commands::cli().run_inner(Args::from(args)) {
            Ok(command) => command,
            Err(failure) => {
                let exit = Exit::BadInput;
                let (out, err) = (String::new(), failure.unwrap_stderr());
                return Output { exit, out, err };
            }
        };
        let json = command.target().json;
        let shell = Shell::new(Box::new(out.clone()), Box::new(err.clone()), json);
        let mut fleet = FakeFleet::default();
        let header = Header {
            generation: 1,
            change: 1,
        };
        fleet.tables.insert(1, (header, file(1, 1, 30)));
        let mut context = Context {
            shell,
            store: Some(Arc::clone(&self.store) as Arc<dyn Store>),
            keys: Keys::new("test"),
            fleet: Box::new(fleet),
            routers: command.target().routers,
            sleeper: Box::new(NoSleep),
            random: Box::new(FixedRandom),
        };
        let result = commands::exec(&mut context, &command);
        let exit = result.map_or_else(
            |failure| {
                context.shell.failure(&failure);
                failure.exit
            },
            |()| Exit::Done,
        );
        let (out, err) = (out.text(), err.text());
        Output { exit, out, err }
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        // Files that cannot be removed stay in the system's temporary directory.
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

#[test]
fn apply_replaces_the_shown_tables_and_rejects_an_outdated_base() {
    let fixture = Fixture::new("apply");
    let shown = fixture.run(&["show"]);
    assert_eq!(shown.exit, Exit::Done);
    let edited = shown.out.replace("30s", "45s");
    let path = fixture.write("tables.ini", &edited);
    let diff = fixture.run(&["diff", &path]);
    assert_eq!(
        diff.out,
        "~ [route chat]\n  - deadline = 30s\n  + deadline = 45s\n"
    );
    let apply = ["apply", "--router", "127.0.0.1:1", &path];
    let applied = fixture.run(&apply);
    assert_eq!(applied.exit, Exit::Done);
    assert_eq!(applied.out, diff.out);
    assert!(applied
        .err
        .contains("Applied generation 2, change 000000000000c0de"));
    let again = fixture.run(&apply);
    assert_eq!(again.exit, Exit::Failed);
    let expected = "error: the edit is based on generation 1, but generation 2 is stored\n  \
                  what the others changed:\n~ [route chat]";
    assert!(again.err.starts_with(expected), "{}", again.err);
    assert!(
        again.err.contains("hint: nothing was changed"),
        "{}",
        again.err
    );
}

struct Case {
    name: &'static str,
    args: &'static [&'static str],
    exit: Exit,
    out: &'static str,
    err: &'static str,
}

#[test]
fn commands_exit_and_print_as_expected() {
    let cases = [
        Case {
            name: "check a good file",
            args: &["check", "GOOD"],
            exit: Exit::Done,
            out: "1 routes and 1 pools, no faults",
            err: "",
        },
        Case {
            name: "check a bad file",
            args: &["check", "BAD"],
            exit: Exit::BadInput,
            out: "",
            err: "[route chat] deadline: expected a duration",
        },
        Case {
            name: "check a bad file with JSON",
            args: &["check", "--json", "BAD"],
            exit: Exit::BadInput,
            out: "\"kind\": \"bad-value\"",
            err: "",
        },
        Case {
            name: "apply a missing file",
            args: &["apply", "/nowhere/tables.ini"],
            exit: Exit::BadInput,
            out: "",
            err: "error: failed to read /nowhere/tables.ini: ",
        },
        Case {
            name: "apply a bad file",
            args: &["apply", "BAD"],
            exit: Exit::BadInput,
            out: "",
            err: "error: failed to read the tables:",
        },
        Case {
            name: "an unknown command",
            args: &["aply", "GOOD"],
            exit: Exit::BadInput,
            out: "",
            err: "aply",
        },
        Case {
            name: "a bad address",
            args: &["status", "--router", "entry-1:80"],
            exit: Exit::BadInput,
            out: "",
            err: "expected an address by IP number",
        },
        Case {
            name: "status of one router",
            args: &["status", "--router", "127.0.0.1:1"],
            exit: Exit::Done,
            out: "127.0.0.1:1  entry-1  barasat  ready  1       none",
            err: "",
        },
        Case {
            name: "status with one unreachable router",
            args: &["status", "--router", "127.0.0.1:1,127.0.0.1:2"],
            exit: Exit::Failed,
            out: "127.0.0.1:2  -        -        silent",
            err: "error: 1 of 2 routers did not answer",
        },
        Case {
            name: "status with no router",
            args: &["status"],
            exit: Exit::BadInput,
            out: "",
            err: "hint: give --router",
        },
        Case {
            name: "drain by an unknown host name",
            args: &["drain", "entry-9", "--router", "127.0.0.1:1"],
            exit: Exit::Failed,
            out: "",
            err: "no router that answers is named entry-9",
        },
        Case {
            name: "restore of tables that are not lost",
            args: &["restore", "--router", "127.0.0.1:1"],
            exit: Exit::Failed,
            out: "",
            err: "already holds generation 1",
        },
        Case {
            name: "today when no router returns a page",
            args: &["today", "--router", "127.0.0.1:1"],
            exit: Exit::Failed,
            out: "",
            err: "no router gave the page; the last said: failed to reach the router: not there",
        },
        Case {
            name: "lift of an invalid fingerprint",
            args: &["suspects", "lift", "poison"],
            exit: Exit::BadInput,
            out: "",
            err: "invalid digit",
        },
    ];
    let fixture = Fixture::new("cases");
    let good = fixture.write("good.ini", &file(1, 1, 30));
    let bad = fixture.write("bad.ini", &file(1, 1, 30).replace("30s", "soon"));
    for case in cases {
        let arg = |arg: &&'static str| match *arg {
            "GOOD" => good.clone(),
            "BAD" => bad.clone(),
            other => other.to_owned(),
        };
        let args: Vec<String> = case.args.iter().map(arg).collect();
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        let output = fixture.run(&args);
        assert_eq!(output.exit, case.exit, "{}: {}", case.name, output.err);
        assert!(
            output.out.contains(case.out),
            "{}: {}",
            case.name,
            output.out
        );
        assert!(
            output.err.contains(case.err),
            "{}: {}",
            case.name,
            output.err
        );
    }
}

#[test]
fn apply_notes_that_no_router_is_named() {
    let fixture = Fixture::new("alone");
    let path = fixture.write("tables.ini", &file(1, 1, 45));
    let output = fixture.run(&["apply", &path]);
    assert_eq!(output.exit, Exit::Done);
    assert!(
        output.err.contains("Note no router is named"),
        "{}",
        output.err
    );
}

#[test]
fn a_key_is_shown_once_and_stored_as_a_hash() {
    let fixture = Fixture::new("account");
    let added = fixture.run(&["account", "add", "parish", "--label", "spring"]);
    let key = added.out.trim();
    assert!(key.starts_with("phk_"), "{key}");
    let entry = fixture
        .store
        .get("test/accounts")
        .expect("no fault")
        .expect("stored");
    let text = String::from_utf8(entry.value).expect("text");
    assert!(!text.contains(key), "{text}");
    let listed = fixture.run(&["account", "list"]);
    assert_eq!(listed.out, "parish: spring\n");
    let again = fixture.run(&["account", "add", "other", "--label", "spring"]);
    assert_eq!(again.exit, Exit::Failed, "the same key twice");
    let removed = fixture.run(&["account", "remove", "parish", "--key", "spring"]);
    assert_eq!(removed.exit, Exit::Done, "{}", removed.err);
    assert_eq!(fixture.run(&["account", "list"]).out, "parish: \n");
}

#[test]
fn unknown_result_has_its_own_exit_code() {
    let fixture = Fixture::new("unknown");
    let path = fixture.write("tables.ini", &file(1, 1, 45));
    fixture.store.fault_in(3, Fault::LostAfter);
    for call in 4..40 {
        fixture.store.fault_in(call, Fault::Refused);
    }
    let output = fixture.run(&["apply", &path, "--json"]);
    assert_eq!(output.exit, Exit::Unknown);
    assert!(
        output.out.contains("look for change = 000000000000c0de"),
        "{}",
        output.out
    );
    assert!(
        output.out.contains("\"exit\": \"unknown\""),
        "{}",
        output.out
    );
}

#[test]
fn json_output_of_a_failure_is_one_value() {
    let fixture = Fixture::new("json");
    let bad = fixture.write("bad.ini", &file(1, 1, 30).replace("30s", "soon"));
    let old = fixture.write("old.ini", &file(3, 3, 30));
    let cases = [
        vec!["check", "--json", &bad],
        vec!["apply", "--json", &old],
        vec!["status", "--json", "--router", "127.0.0.1:1,127.0.0.1:2"],
        vec!["account", "remove", "nobody", "--json"],
    ];
    for args in cases {
        let output = fixture.run(&args);
        assert_ne!(output.exit, Exit::Done, "{args:?}");
        let value: serde_json::Result<serde_json::Value> = serde_json::from_str(&output.out);
        assert!(value.is_ok(), "{args:?}: {}", output.out);
        assert_eq!(output.err, "", "{args:?}");
    }
}

#[test]
fn apply_with_wait_names_the_lagging_routers() {
    let fixture = Fixture::new("wait");
    let path = fixture.write("tables.ini", &file(1, 1, 45));
    let output = fixture.run(&["apply", "--wait", "2s", "--router", "127.0.0.1:1", &path]);
    assert_eq!(output.exit, Exit::Lagging);
    let expected = format!("generation 2 is stored but not in force on {}", router(1));
    assert!(output.err.contains(&expected), "{}", output.err);
}

#[test]
fn sample_settings_are_valid() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples/primrosectl.ini");
    let target = primrosectl::context::Target {
        settings: Some(path),
        ..Default::default()
    };
    let operator = target.resolve().expect("valid");
    assert_eq!(operator.addresses.len(), 2);
    assert_eq!(operator.routers.len(), 3);
    assert_eq!(operator.prefix, "primrosehall");
}
