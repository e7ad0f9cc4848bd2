//! Recovery: reading the snapshot and the segments, and fencing off earlier leaders.

use super::*;

impl JournalController {
    /// Starts recovery as leader under `token`. Changes that are not written yet are kept and
    /// written after the fence: answers to callers reported them as not durable.
    pub fn recover(&mut self, token: FencingToken) -> Vec<JournalOutput> {
        self.token = Some(token);
        self.calls.clear();
        self.retries.clear();
        self.compaction = None;
        if let Some((segment, _)) = self.segment.take() {
            self.dirty.extend(segment.records.iter().map(LedgerRecord::name));
        }
        self.slot_versions.clear();
        self.stage = JournalStage::Recovering(RecoveryState::new(1, 0));
        vec![self.call(JournalCall::ReadBase)]
    }

    /// Writes the base again under this leader's token, so that no earlier leader can replace it.
    pub(super) fn fence_base(&mut self) -> Vec<JournalOutput> {
        let token = self.token.clone().unwrap_or(FencingToken::granted(0, "".into()));
        if let Some(base) = &self.base
            && base.token > token
        {
            return vec![JournalOutput::Fenced];
        }
        let write_id = self.write_id();
        let (generation, covers, parts) = match &self.base {
            Some(base) => (base.generation, base.covers, base.parts),
            None => (0, 0, 0),
        };
        let base = JournalBase { generation, covers, parts, token, write_id };
        vec![self.call(JournalCall::FenceBase(base))]
    }

    pub(super) fn read_journal(&mut self) -> Vec<JournalOutput> {
        let Some(base) = self.base.clone() else {
            return Vec::new();
        };
        self.journal_bytes = 0;
        self.stage = JournalStage::Recovering(RecoveryState::new(base.covers + 1, base.parts));
        let mut outputs: Vec<_> =
            (0..base.parts).map(|part| self.call(JournalCall::ReadPart(part))).collect();
        if base.parts == 0 {
            outputs.extend(self.read_ahead());
        }
        outputs
    }

    pub(super) fn read_ahead(&mut self) -> Vec<JournalOutput> {
        let mut numbers = Vec::new();
        if let JournalStage::Recovering(state) = &mut self.stage {
            while state.next_read < state.next_apply + READ_AHEAD {
                numbers.push(state.next_read);
                state.next_read += 1;
            }
        }
        numbers.into_iter().map(|number| self.call(JournalCall::ReadSlot(number))).collect()
    }

    pub(super) fn read_part(&mut self, part: u64, stored: &StoredValue) -> Vec<JournalOutput> {
        let records = decode::<SnapshotPart>(stored).map_or(Vec::new(), |part| part.records);
        let JournalStage::Recovering(state) = &mut self.stage else {
            return Vec::new();
        };
        for record in records {
            apply(&mut state.recovered, record);
        }
        state.missing_parts.remove(&part);
        match state.missing_parts.is_empty() {
            true => self.read_ahead(),
            false => Vec::new(),
        }
    }

    pub(super) fn read_slot(
        &mut self,
        now: Instant,
        number: u64,
        stored: Option<&StoredValue>,
    ) -> Vec<JournalOutput> {
        let version = stored.map_or(0, |stored| stored.version);
        self.slot_versions.insert(number % RING_SLOTS, version);
        let segment = stored.and_then(decode::<JournalSegment>).filter(|s| s.number == number);
        self.journal_bytes += segment.as_ref().and(stored).map_or(0, |stored| stored.value.len());
        let JournalStage::Recovering(state) = &mut self.stage else {
            return Vec::new();
        };
        state.read.insert(number, segment);
        let mut reached_end = false;
        while let Some(segment) = state.read.remove(&state.next_apply) {
            match segment {
                Some(segment) => {
                    for record in segment.records {
                        apply(&mut state.recovered, record);
                    }
                    state.next_apply += 1;
                }
                None => {
                    reached_end = true;
                    break;
                }
            }
        }
        let next = state.next_apply;
        match reached_end {
            true => self.fence_journal(now, next),
            false => self.read_ahead(),
        }
    }

    /// Writes a segment to the first free slot; the write of any other leader to it fails.
    pub(super) fn fence_journal(&mut self, now: Instant, next: u64) -> Vec<JournalOutput> {
        if let JournalStage::Recovering(state) =
            std::mem::replace(&mut self.stage, JournalStage::Fencing)
        {
            self.merge_recovered(state.recovered);
        }
        self.calls.clear();
        self.next_number = next;
        vec![self.write_batch(now)]
    }

    /// Merges the recovered records with local changes that were never written.
    pub(super) fn merge_recovered(&mut self, mut recovered: BTreeMap<String, LedgerRecord>) {
        for name in &self.dirty {
            let merged = match (recovered.remove(name), self.records.remove(name)) {
                (Some(LedgerRecord::Job(found)), Some(LedgerRecord::Job(own))) => {
                    LedgerRecord::Job(found.merge(own))
                }
                (Some(LedgerRecord::Key(found)), Some(LedgerRecord::Key(own))) => {
                    LedgerRecord::Key(found.merge(own))
                }
                (_, Some(own)) => own,
                (_, None) => continue,
            };
            recovered.insert(name.clone(), merged);
        }
        self.records = recovered;
    }
}
