//! Logging as JSON lines on standard output, through a bounded queue: if the reader of standard output
//! is too slow, lines are dropped and counted; logging never blocks.

use std::io::Write;

use env_logger::{Builder, Env, Target};
use jiff::Timestamp;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

/// Largest number of queued lines: about one second of output of the busiest leader.
const MAX_QUEUED_LINES: usize = 4_096;

/// Fields that every line of a process contains.
#[derive(Clone, Debug, Default)]
pub(crate) struct LogIdentity {
    /// Failure domain of the process.
    pub(crate) domain: String,
    /// Name of the entry process.
    pub(crate) entry: String,
}

struct FieldVisitor<'m>(&'m mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), json!(value.to_string()));
        Ok(())
    }
}

/// Guard of the queue of lines; dropping it writes out the queued lines.
#[must_use]
pub(crate) struct LogQueue {
    _writer: WorkerGuard,
    dropped: ErrorCounter,
}

impl Drop for LogQueue {
    fn drop(&mut self) {
        let dropped = self.dropped.dropped_lines();
        if dropped > 0 {
            log::warn!(dropped; "log lines were dropped");
        }
    }
}

/// Starts logging; the variable `KELPLINK_LOG` sets the levels. Without it the level is `info`, and
/// `warn` for the modules `jsonrpsee` and `gotham`.
pub(crate) fn start_logging(identity: LogIdentity) -> LogQueue {
    let (lines, writer) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .finish(std::io::stdout());
    let dropped = lines.error_counter();
    let env = Env::new().filter_or("KELPLINK_LOG", "info,jsonrpsee=warn,gotham=warn");
    let result = Builder::from_env(env)
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
    if result.is_err() {
        log::debug!("a logger was already installed");
    }
    LogQueue { _writer: writer, dropped }
}
