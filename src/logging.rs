//! Logs as JSON lines on standard error.

use std::io::Write;

use env_logger::{Builder, Env};
use jiff::Timestamp;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};

/// What every line of a process carries.
#[derive(Clone, Debug, Default)]
pub(crate) struct LogIdentity {
    /// Failure domain.
    pub(crate) domain: String,
    /// Entry.
    pub(crate) entry: String,
}

struct FieldVisitor<'m>(&'m mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), json!(value.to_string()));
        Ok(())
    }
}

/// Starts logging; the variable `KELPLINK_LOG` sets levels, `info` where it is not set.
pub(crate) fn start_logging(identity: LogIdentity) {
    let env = Env::new().filter_or("KELPLINK_LOG", "info,jsonrpsee=warn,gotham=warn");
    let started = Builder::from_env(env)
        .format(move |out, record| {
            let mut line = Map::new();
            line.insert("time".to_owned(), json!(Timestamp::now().to_string()));
            line.insert("level".to_owned(), json!(record.level().as_str().to_lowercase()));
            line.insert("target".to_owned(), json!(record.target()));
            line.insert("failure_domain".to_owned(), json!(identity.domain));
            line.insert("entry".to_owned(), json!(identity.entry));
            let thread = std::thread::current();
            line.insert("thread".to_owned(), json!(thread.name()));
            line.insert("message".to_owned(), json!(record.args().to_string()));
            let _ = record.key_values().visit(&mut FieldVisitor(&mut line));
            writeln!(out, "{}", serde_json::Value::Object(line))
        })
        .try_init();
    if started.is_err() {
        log::debug!("logging was started before");
    }
}
