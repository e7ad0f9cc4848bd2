//! An upstream that counts what it is sent.

use std::collections::BTreeMap;

/// What an upstream has counted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UpstreamCount {
    /// Requests that it began.
    pub begun: u64,
    /// Requests that it answered.
    pub answered: u64,
    /// Most requests at a time.
    pub most_at_once: u32,
    /// Requests that found all slots in use.
    pub over_slots: u64,
}

/// State of one upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamModel {
    slots: u32,
    in_use: u32,
    count: UpstreamCount,
    /// How often each marked request was begun.
    marks: BTreeMap<String, u32>,
}

impl UpstreamModel {
    /// An idle upstream.
    pub fn new(slots: u32) -> Self {
        Self { slots, ..Self::default() }
    }

    /// A request begins; `mark` names it across attempts.
    pub fn begin(&mut self, mark: Option<&str>) {
        self.in_use += 1;
        self.count.begun += 1;
        self.count.most_at_once = self.count.most_at_once.max(self.in_use);
        if self.in_use > self.slots {
            self.count.over_slots += 1;
        }
        if let Some(mark) = mark {
            *self.marks.entry(mark.to_owned()).or_default() += 1;
        }
    }

    /// A request ended, answered or not.
    pub fn end(&mut self, answered: bool) {
        self.in_use -= 1;
        self.count.answered += u64::from(answered);
    }

    /// What was counted.
    pub fn count(&self) -> UpstreamCount {
        self.count
    }

    /// How often each marked request was begun.
    pub fn marks(&self) -> &BTreeMap<String, u32> {
        &self.marks
    }
}
