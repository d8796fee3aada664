//! What the commands accept, print and exit with.

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

/// Bytes that a test can read back.
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

/// Numbers that are not random.
struct Fixed;

impl Random for Fixed {
    fn key(&mut self) -> Result<[u8; KEY_BYTES], RandomError> {
        Ok([7; KEY_BYTES])
    }

    fn change(&mut self) -> Result<u64, RandomError> {
        Ok(0xc0de)
    }
}

/// One deployment, and a directory for files that is removed at the end.
struct Desk {
    store: Arc<MemoryStore>,
    dir: PathBuf,
}

struct Ran {
    exit: Exit,
    out: String,
    err: String,
}

impl Desk {
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

    fn run(&self, args: &[&str]) -> Ran {
        let (out, err) = (Buffer::default(), Buffer::default());
        let command = match commands::cli().run_inner(Args::from(args)) {
            Ok(command) => command,
            Err(failure) => {
                let exit = Exit::BadInput;
                let (out, err) = (String::new(), failure.unwrap_stderr());
                return Ran { exit, out, err };
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
            random: Box::new(Fixed),
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
        Ran { exit, out, err }
    }
}

impl Drop for Desk {
    fn drop(&mut self) {
        // What is left over is in the system's temporary directory.
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

#[test]
fn an_operator_shows_edits_and_applies() {
    let desk = Desk::new("apply");
    let shown = desk.run(&["show"]);
    assert_eq!(shown.exit, Exit::Done);
    let edited = shown.out.replace("30s", "45s");
    let path = desk.write("tables.ini", &edited);
    let diff = desk.run(&["diff", &path]);
    assert_eq!(
        diff.out,
        "~ [route chat]\n  - deadline = 30s\n  + deadline = 45s\n"
    );
    let apply = ["apply", "--router", "127.0.0.1:1", &path];
    let applied = desk.run(&apply);
    assert_eq!(applied.exit, Exit::Done);
    assert_eq!(applied.out, diff.out);
    assert!(applied
        .err
        .contains("Applied generation 2, change 000000000000c0de"));
    let again = desk.run(&apply);
    assert_eq!(again.exit, Exit::Failed);
    let wanted = "error: the edit is based on generation 1, but generation 2 is stored\n  \
                  what the others changed:\n~ [route chat]";
    assert!(again.err.starts_with(wanted), "{}", again.err);
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
fn each_command_says_what_came_of_it() {
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
            name: "a file that is not there",
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
            name: "status with one that is silent",
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
            name: "drain by a name that nobody has",
            args: &["drain", "entry-9", "--router", "127.0.0.1:1"],
            exit: Exit::Failed,
            out: "",
            err: "no router that answers is named entry-9",
        },
        Case {
            name: "restore of what was not lost",
            args: &["restore", "--router", "127.0.0.1:1"],
            exit: Exit::Failed,
            out: "",
            err: "already holds generation 1",
        },
        Case {
            name: "today when no router has a page",
            args: &["today", "--router", "127.0.0.1:1"],
            exit: Exit::Failed,
            out: "",
            err: "no router gave the page; the last said: failed to reach the router: not there",
        },
        Case {
            name: "lift of no fingerprint",
            args: &["suspects", "lift", "poison"],
            exit: Exit::BadInput,
            out: "",
            err: "invalid digit",
        },
    ];
    let desk = Desk::new("cases");
    let good = desk.write("good.ini", &file(1, 1, 30));
    let bad = desk.write("bad.ini", &file(1, 1, 30).replace("30s", "soon"));
    for case in cases {
        let arg = |arg: &&'static str| match *arg {
            "GOOD" => good.clone(),
            "BAD" => bad.clone(),
            other => other.to_owned(),
        };
        let args: Vec<String> = case.args.iter().map(arg).collect();
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        let ran = desk.run(&args);
        assert_eq!(ran.exit, case.exit, "{}: {}", case.name, ran.err);
        assert!(ran.out.contains(case.out), "{}: {}", case.name, ran.out);
        assert!(ran.err.contains(case.err), "{}: {}", case.name, ran.err);
    }
}

#[test]
fn apply_says_when_it_sees_no_router() {
    let desk = Desk::new("alone");
    let path = desk.write("tables.ini", &file(1, 1, 45));
    let ran = desk.run(&["apply", &path]);
    assert_eq!(ran.exit, Exit::Done);
    assert!(ran.err.contains("Note no router is named"), "{}", ran.err);
}

#[test]
fn a_key_is_shown_once_and_stored_as_a_hash() {
    let desk = Desk::new("account");
    let added = desk.run(&["account", "add", "parish", "--label", "spring"]);
    let key = added.out.trim();
    assert!(key.starts_with("phk_"), "{key}");
    let entry = desk
        .store
        .get("test/accounts")
        .expect("no fault")
        .expect("stored");
    let text = String::from_utf8(entry.value).expect("text");
    assert!(!text.contains(key), "{text}");
    let listed = desk.run(&["account", "list"]);
    assert_eq!(listed.out, "parish: spring\n");
    let again = desk.run(&["account", "add", "other", "--label", "spring"]);
    assert_eq!(again.exit, Exit::Failed, "the same key twice");
    let removed = desk.run(&["account", "remove", "parish", "--key", "spring"]);
    assert_eq!(removed.exit, Exit::Done, "{}", removed.err);
    assert_eq!(desk.run(&["account", "list"]).out, "parish: \n");
}

#[test]
fn an_unknown_result_has_its_own_exit_code() {
    let desk = Desk::new("unknown");
    let path = desk.write("tables.ini", &file(1, 1, 45));
    desk.store.fault_in(3, Fault::LostAfter);
    for call in 4..40 {
        desk.store.fault_in(call, Fault::Refused);
    }
    let ran = desk.run(&["apply", &path, "--json"]);
    assert_eq!(ran.exit, Exit::Unknown);
    assert!(
        ran.out.contains("look for change = 000000000000c0de"),
        "{}",
        ran.out
    );
    assert!(ran.out.contains("\"exit\": \"unknown\""), "{}", ran.out);
}

#[test]
fn json_is_one_value_for_failures_too() {
    let desk = Desk::new("json");
    let bad = desk.write("bad.ini", &file(1, 1, 30).replace("30s", "soon"));
    let old = desk.write("old.ini", &file(3, 3, 30));
    let cases = [
        vec!["check", "--json", &bad],
        vec!["apply", "--json", &old],
        vec!["status", "--json", "--router", "127.0.0.1:1,127.0.0.1:2"],
        vec!["account", "remove", "nobody", "--json"],
    ];
    for args in cases {
        let ran = desk.run(&args);
        assert_ne!(ran.exit, Exit::Done, "{args:?}");
        let value: serde_json::Result<serde_json::Value> = serde_json::from_str(&ran.out);
        assert!(value.is_ok(), "{args:?}: {}", ran.out);
        assert_eq!(ran.err, "", "{args:?}");
    }
}

#[test]
fn waiting_names_the_routers_that_lag() {
    let desk = Desk::new("wait");
    let path = desk.write("tables.ini", &file(1, 1, 45));
    let ran = desk.run(&["apply", "--wait", "2s", "--router", "127.0.0.1:1", &path]);
    assert_eq!(ran.exit, Exit::Lagging);
    let wanted = format!("generation 2 is stored but not in force on {}", router(1));
    assert!(ran.err.contains(&wanted), "{}", ran.err);
}

#[test]
fn the_sample_settings_are_valid() {
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
