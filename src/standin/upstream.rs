//! An upstream that counts its requests.

use std::collections::BTreeMap;

/// Counters of an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UpstreamCount {
    /// Requests started.
    pub begun: u64,
    /// Requests answered.
    pub answered: u64,
    /// Largest number of requests at a time.
    pub max_concurrent: u32,
    /// Requests started while all slots were in use.
    pub over_slots: u64,
}

/// State of one upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamModel {
    slots: u32,
    in_use: u32,
    count: UpstreamCount,
    /// Number of times each marked request was started.
    marks: BTreeMap<String, u32>,
}

impl UpstreamModel {
    /// Creates an idle upstream.
    pub fn new(slots: u32) -> Self {
        Self { slots, ..Self::default() }
    }

    /// Records the start of a request. `mark` identifies it across attempts.
    pub fn begin(&mut self, mark: Option<&str>) {
        self.in_use += 1;
        self.count.begun += 1;
        self.count.max_concurrent = self.count.max_concurrent.max(self.in_use);
        if self.in_use > self.slots {
            self.count.over_slots += 1;
        }
        if let Some(mark) = mark {
            *self.marks.entry(mark.to_owned()).or_default() += 1;
        }
    }

    /// Records the end of a request, answered or not.
    pub fn end(&mut self, answered: bool) {
        self.in_use -= 1;
        self.count.answered += u64::from(answered);
    }

    /// The counters.
    pub fn count(&self) -> UpstreamCount {
        self.count
    }

    /// Number of times each marked request was started.
    pub fn marks(&self) -> &BTreeMap<String, u32> {
        &self.marks
    }
}
