//! A ledger of many jobs, for tests of reads over slow links.

use std::time::Duration;

use crate::graph::{GraphRecord, GraphSpec, QueueRule, StepSpec};
use crate::node::simulated_store::SimulatedStore;

/// Number of jobs.
pub(crate) const JOBS: usize = 1_600;
const PAYLOAD_BYTES: usize = 4_000;

/// Writes the records of [`JOBS`] jobs of the only shard to a store: 7 MB.
pub(crate) fn put_jobs(store: &SimulatedStore) {
    for number in 0..JOBS {
        let id = format!("{number:016x}");
        store.put(&format!("j/{id}"), value_of(&id));
    }
}

/// Size of the record of a job as stored.
pub(crate) fn job_bytes() -> usize {
    value_of(&"0".repeat(16)).len()
}

fn value_of(id: &str) -> Vec<u8> {
    serde_json::to_vec(&record(id)).unwrap()
}

/// Record of a job of one task.
pub(crate) fn record(id: &str) -> GraphRecord {
    let rule = QueueRule {
        id: "now".into(),
        host: "".into(),
        prefix: "/now/".into(),
        service: "svc".into(),
        priority: 0,
        max_attempts: 2,
        slack: 1.5,
        target: Duration::from_millis(250),
        advice: None,
        public: false,
    };
    let spec = GraphSpec {
        id: id.into(),
        queue: rule.id.clone(),
        payload: "x".repeat(PAYLOAD_BYTES).into(),
        steps: vec![StepSpec { count: 1, ..StepSpec::default() }],
        repeat: None,
        accepted: 0,
    };
    GraphRecord { spec, rule, workspace: None, home: None, share: None, run_offset: 0 }
}
