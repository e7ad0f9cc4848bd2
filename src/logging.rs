//! Logs as JSON lines on standard output, through a bounded queue: a reader that does not keep up
//! costs lines, which are counted, and never time.

use std::io::Write;

use env_logger::{Builder, Env, Target};
use jiff::Timestamp;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

/// Lines that may wait for the reader of standard output: about a second of the busiest leader.
const WAITING_LINES: usize = 4_096;

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

/// Keeps the queue of lines; what waits is written out when it is dropped.
#[must_use]
pub(crate) struct LogQueue {
    _writer: WorkerGuard,
    dropped: ErrorCounter,
}

impl Drop for LogQueue {
    fn drop(&mut self) {
        let dropped = self.dropped.dropped_lines();
        if dropped > 0 {
            log::warn!(dropped; "lines of the log were dropped");
        }
    }
}

/// Starts logging; the variable `KELPLINK_LOG` sets levels, `info` where it is not set.
pub(crate) fn start_logging(identity: LogIdentity) -> LogQueue {
    let (lines, writer) =
        NonBlockingBuilder::default().buffered_lines_limit(WAITING_LINES).finish(std::io::stdout());
    let dropped = lines.error_counter();
    let env = Env::new().filter_or("KELPLINK_LOG", "info,jsonrpsee=warn,gotham=warn");
    let started = Builder::from_env(env)
        .target(Target::Pipe(Box::new(lines)))
        .format(move |out, record| {
            let mut line = Map::new();
            line.insert("time".to_owned(), json!(Timestamp::now().to_string()));
            line.insert("level".to_owned(), json!(record.level().as_str().to_lowercase()));
            line.insert("target".to_owned(), json!(record.target()));
            line.insert("failure_domain".to_owned(), json!(identity.domain));
            line.insert("entry".to_owned(), json!(identity.entry));
            line.insert("message".to_owned(), json!(record.args().to_string()));
            let _ = record.key_values().visit(&mut FieldVisitor(&mut line));
            writeln!(out, "{}", serde_json::Value::Object(line))
        })
        .try_init();
    if started.is_err() {
        log::debug!("logging was started before");
    }
    LogQueue { _writer: writer, dropped }
}
