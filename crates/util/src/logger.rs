//! Log records as JSON lines on standard error.
//!
//! Programs call [`init`] once; libraries only use the `log` macros. Key-value pairs given to the
//! macros become members of the line's object.

use std::io::Write;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use log::LevelFilter;
use log::Record;
use serde_json::json;
use serde_json::Map;

/// Installs the JSON lines logger with a default level; `PRIMROSE_LOG` overrides it.
pub fn init(level: LevelFilter) {
    env_logger::Builder::new()
        .filter_level(level)
        .parse_env("PRIMROSE_LOG")
        .format(|out, record| writeln!(out, "{}", format_record(record, SystemTime::now())))
        .init();
}

/// Renders one record as a JSON object on one line.
pub fn format_record(record: &Record<'_>, wall: SystemTime) -> String {
    let since = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut object = Map::new();
    object.insert(
        "unix_ms".into(),
        json!(u64::try_from(since.as_millis()).unwrap_or(u64::MAX)),
    );
    object.insert("level".into(), json!(record.level().as_str()));
    object.insert("target".into(), json!(record.target()));
    object.insert("message".into(), json!(record.args().to_string()));
    // If visiting the key-value pairs fails, the line still has the message.
    let _ = record.key_values().visit(&mut FieldVisitor(&mut object));
    serde_json::Value::Object(object).to_string()
}

struct FieldVisitor<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.insert(key.to_string(), json!(value.to_string()));
        Ok(())
    }
}
