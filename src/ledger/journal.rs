//! Recovery, grouped commits and compaction of the journal.

mod compaction;
mod recovery;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use log::{info, warn};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use crate::id::{CallId, DomainId, KeyVersion};
use crate::job::JobRecord;
use crate::ledger::segment::{JournalBase, JournalSegment, LedgerRecord, SnapshotPart};
use crate::store::{StoreOutcome, StoreRequest, StoredValue};
use crate::token::FencingToken;

/// Slots of the ring.
const RING_SLOTS: u64 = 512;
/// Number of segments at which the journal is compacted regardless of their size.
const COMPACT_SEGMENTS: u64 = 384;
/// Size of the journal, in bytes, below which it is not compacted for its size.
const COMPACT_BYTES: usize = 256 * 1024;
/// Size, in bytes, at which no more records are added to a value; the store accepts values up to
/// one megabyte.
const VALUE_BYTES: usize = 512 * 1024;
/// Reads kept in flight during recovery.
const READ_AHEAD: u64 = 16;
/// Writes that may follow each other without a delay after a time without writes.
const BURST: u32 = 10;
/// Delay before a call is repeated that the store did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Number of a change, with which a caller waits for its commit.
pub type CommitTicket = u64;

/// Actions and events for the caller of the journal.
#[derive(Clone, Debug, PartialEq)]
pub enum JournalOutput {
    /// Make this call and pass the outcome to [`JournalController::answer`] with the number.
    Call(CallId, StoreRequest),
    /// Recovery is complete: all records. The journal accepts commits from now on.
    Recovered(Vec<LedgerRecord>),
    /// Every change up to this ticket is durable.
    Committed(CommitTicket),
    /// Another leader has written to the journal: this one must stop.
    Fenced,
}

#[derive(Clone, Debug)]
enum JournalCall {
    ReadBase,
    FenceBase(JournalBase),
    ReadPart(u64),
    ReadSlot(u64),
    WriteSegment,
    VerifySegment,
    ReadPartVersion(u64),
    WritePart(u64),
    WriteBase(JournalBase),
    VerifyBase(JournalBase),
}

#[derive(Debug)]
struct RecoveryState {
    /// Next segment to apply.
    next_apply: u64,
    /// Next segment to read.
    next_read: u64,
    /// Segments read out of order; `None` marks the end of the journal.
    read: BTreeMap<u64, Option<JournalSegment>>,
    missing_parts: BTreeSet<u64>,
    /// Records read so far.
    recovered: BTreeMap<String, LedgerRecord>,
}

impl RecoveryState {
    fn new(next_apply: u64, parts: u64) -> Self {
        Self {
            next_apply,
            next_read: next_apply,
            read: BTreeMap::new(),
            missing_parts: (0..parts).collect(),
            recovered: BTreeMap::new(),
        }
    }
}

fn apply(records: &mut BTreeMap<String, LedgerRecord>, record: LedgerRecord) {
    match record {
        LedgerRecord::Gone(name) => {
            records.remove(&name);
        }
        record => {
            records.insert(record.name(), record);
        }
    }
}

#[derive(Debug)]
struct CompactionState {
    base: JournalBase,
    parts: Vec<String>,
    next_part: u64,
    version: KeyVersion,
}

#[derive(Debug)]
enum JournalStage {
    /// Another entry leads.
    Idle,
    /// Reading the snapshot and the segments.
    Recovering(RecoveryState),
    /// Writing the next segment, after which earlier leaders cannot write any more.
    Fencing,
    /// Open for commits.
    Open,
}

/// The journal of one failure domain, as its leader writes it.
#[derive(Debug)]
pub struct JournalController {
    domain: DomainId,
    interval: Duration,
    stage: JournalStage,
    token: Option<FencingToken>,
    records: BTreeMap<String, LedgerRecord>,
    /// Names of records that changed and are in no segment yet.
    dirty: BTreeSet<String>,
    dirty_ticket: CommitTicket,
    durable_ticket: CommitTicket,
    /// Names of records whose changes were not passed on to followers yet.
    changed: BTreeSet<String>,
    /// The segment being written.
    segment: Option<(JournalSegment, CommitTicket)>,
    last_ticket: CommitTicket,
    next_number: u64,
    /// When the next write would be due if writes were spaced by the interval.
    next_write: Instant,
    /// Versions of the slots of the ring, as last read or written.
    slot_versions: BTreeMap<u64, KeyVersion>,
    base: Option<JournalBase>,
    base_version: KeyVersion,
    journal_bytes: usize,
    snapshot_bytes: usize,
    compaction: Option<CompactionState>,
    calls: BTreeMap<CallId, JournalCall>,
    retries: Vec<(Instant, JournalCall)>,
    next_call: CallId,
    write_count: u64,
    boot: u64,
}

impl JournalController {
    /// Creates an idle journal. `boot` distinguishes this start of the process from earlier ones.
    pub fn new(now: Instant, domain: DomainId, boot: u64, interval: Duration) -> Self {
        Self {
            domain,
            interval,
            stage: JournalStage::Idle,
            token: None,
            records: BTreeMap::new(),
            dirty: BTreeSet::new(),
            dirty_ticket: 0,
            durable_ticket: 0,
            changed: BTreeSet::new(),
            segment: None,
            last_ticket: 0,
            next_number: 1,
            next_write: now,
            slot_versions: BTreeMap::new(),
            base: None,
            base_version: 0,
            journal_bytes: 0,
            snapshot_bytes: 0,
            compaction: None,
            calls: BTreeMap::new(),
            retries: Vec::new(),
            next_call: 0,
            write_count: 0,
            boot,
        }
    }

    /// Tells whether the journal accepts commits.
    pub fn open(&self) -> bool {
        matches!(self.stage, JournalStage::Open)
    }

    /// Number of records that wait to be written.
    pub fn backlog(&self) -> usize {
        self.dirty.len() + self.segment.as_ref().map_or(0, |(segment, _)| segment.records.len())
    }

    /// Number of records held.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// All records held, with changes that are not durable yet.
    pub fn records(&self) -> impl Iterator<Item = &LedgerRecord> {
        self.records.values()
    }

    /// Stops writing and drops all records and pending changes.
    pub fn close(&mut self) {
        self.stage = JournalStage::Idle;
        self.token = None;
        self.records.clear();
        self.dirty.clear();
        self.changed.clear();
        self.segment = None;
        self.compaction = None;
        self.calls.clear();
        self.retries.clear();
    }

    /// Adds or replaces a record. The change is durable once its ticket is [written](Self::written).
    pub fn put(&mut self, record: LedgerRecord) -> CommitTicket {
        self.dirty.insert(record.name());
        self.changed.insert(record.name());
        apply(&mut self.records, record);
        self.next_ticket()
    }

    fn next_ticket(&mut self) -> CommitTicket {
        self.last_ticket += 1;
        self.dirty_ticket = self.last_ticket;
        self.last_ticket
    }

    /// One record.
    pub fn get(&self, name: &str) -> Option<&LedgerRecord> {
        self.records.get(name)
    }

    /// Changes the record of a job in place. The change is durable once its ticket is
    /// [written](Self::written).
    pub fn change_job(
        &mut self,
        name: &str,
        change: impl FnOnce(&mut JobRecord),
    ) -> Option<CommitTicket> {
        match self.records.get_mut(name) {
            Some(LedgerRecord::Job(record)) => change(record),
            _ => return None,
        }
        self.dirty.insert(name.to_owned());
        self.changed.insert(name.to_owned());
        Some(self.next_ticket())
    }

    /// Ticket of the last change, durable or not.
    pub fn last_ticket(&self) -> CommitTicket {
        self.last_ticket
    }

    /// Tells whether everything up to a ticket is durable.
    pub fn written(&self, ticket: CommitTicket) -> bool {
        self.open() && self.durable_ticket >= ticket
    }

    /// Returns the records that changed since the last call, for followers that keep a copy.
    pub fn take_changes(&mut self) -> Vec<LedgerRecord> {
        let names = std::mem::take(&mut self.changed);
        let current = |name: String| match self.records.get(&name) {
            Some(record) => record.clone(),
            None => LedgerRecord::Gone(name),
        };
        names.into_iter().map(current).collect()
    }

    /// Tells whether the last change of a record is durable.
    pub fn durable(&self, name: &str) -> bool {
        let writing = self
            .segment
            .as_ref()
            .is_some_and(|(segment, _)| segment.records.iter().any(|record| record.name() == name));
        !writing && !self.dirty.contains(name)
    }

    /// Adds the records of the copy that this entry kept as a follower, for a start without the
    /// store.
    pub fn load_copy(&mut self, records: impl IntoIterator<Item = LedgerRecord>) {
        for record in records {
            self.put(record);
        }
    }

    /// Repeats failed calls, writes the next batch and starts a compaction, as far as they are due.
    pub fn tick(&mut self, now: Instant) -> Vec<JournalOutput> {
        let due = self.retries.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>();
        let mut outputs: Vec<_> = due.into_iter().map(|(_, call)| self.call(call)).collect();
        if self.open() && self.segment.is_none() && !self.dirty.is_empty() && self.may_write(now) {
            outputs.push(self.write_batch(now));
        }
        if self.open() && self.compaction.is_none() && self.should_compact() {
            outputs.extend(self.compact());
        }
        outputs
    }

    /// Limits writes to one in each interval on average, with a burst after a time without writes.
    fn may_write(&self, now: Instant) -> bool {
        now + self.interval * (BURST - 1) >= self.next_write
    }

    fn write_batch(&mut self, now: Instant) -> JournalOutput {
        self.next_write = self.next_write.max(now) + self.interval;
        let records = self.take_batch();
        let ticket = match self.dirty.is_empty() {
            true => self.dirty_ticket,
            false => 0,
        };
        let write_id = self.write_id();
        let segment = JournalSegment {
            number: self.next_number,
            token: self.token.clone().unwrap_or(FencingToken::granted(0, "".into())),
            write_id,
            records,
        };
        self.segment = Some((segment, ticket));
        self.call(JournalCall::WriteSegment)
    }

    /// Takes the changes for the next segment, up to the size limit of a value.
    fn take_batch(&mut self) -> Vec<LedgerRecord> {
        let mut bytes = 0;
        let mut records = Vec::new();
        while bytes < VALUE_BYTES {
            let Some(name) = self.dirty.pop_first() else {
                break;
            };
            let record = match self.records.get(&name) {
                Some(record) => record.clone(),
                None => LedgerRecord::Gone(name),
            };
            bytes += encode(&record).len();
            records.push(record);
        }
        records
    }

    fn write_id(&mut self) -> String {
        self.write_count += 1;
        let entry = self.token.as_ref().map_or("", |token| &token.entry);
        format!("{entry}-{}-{}", self.boot, self.write_count)
    }

    fn call(&mut self, call: JournalCall) -> JournalOutput {
        self.next_call += 1;
        let request = self.request(&call);
        self.calls.insert(self.next_call, call);
        JournalOutput::Call(self.next_call, request)
    }

    fn request(&self, call: &JournalCall) -> StoreRequest {
        let read = |key| StoreRequest::Read { key };
        match call {
            JournalCall::ReadBase | JournalCall::VerifyBase(_) => read(self.base_key()),
            JournalCall::ReadPart(part) => {
                read(self.part_key(self.base.as_ref().map_or(0, |base| base.generation), *part))
            }
            JournalCall::ReadSlot(number) => read(self.slot_key(*number)),
            JournalCall::VerifySegment => read(self.slot_key(self.next_number)),
            JournalCall::FenceBase(base) | JournalCall::WriteBase(base) => StoreRequest::Swap {
                key: self.base_key(),
                expected: self.base_version,
                value: encode(base),
            },
            JournalCall::WriteSegment => StoreRequest::Swap {
                key: self.slot_key(self.next_number),
                expected: *self.slot_versions.get(&(self.next_number % RING_SLOTS)).unwrap_or(&0),
                value: self.segment.as_ref().map_or(String::new(), |(segment, _)| encode(segment)),
            },
            JournalCall::ReadPartVersion(part) => {
                read(self.part_key(self.compaction_generation(), *part))
            }
            JournalCall::WritePart(part) => StoreRequest::Swap {
                key: self.part_key(self.compaction_generation(), *part),
                expected: self.compaction.as_ref().map_or(0, |state| state.version),
                value: self.compaction.as_ref().map_or(String::new(), |state| {
                    state.parts[usize::try_from(*part).unwrap_or(0)].clone()
                }),
            },
        }
    }

    fn base_key(&self) -> String {
        format!("ledger/{}/base", self.domain)
    }

    fn part_key(&self, generation: u64, part: u64) -> String {
        format!("ledger/{}/part/{}/{part}", self.domain, generation % 2)
    }

    fn slot_key(&self, number: u64) -> String {
        format!("ledger/{}/{}", self.domain, number % RING_SLOTS)
    }

    fn compaction_generation(&self) -> u64 {
        self.compaction.as_ref().map_or(0, |state| state.base.generation)
    }

    fn retry(&mut self, now: Instant, call: JournalCall) -> Vec<JournalOutput> {
        self.retries.push((now + RETRY_PAUSE, call));
        Vec::new()
    }

    /// Handles the outcome of a call.
    pub fn answer(
        &mut self,
        now: Instant,
        id: CallId,
        outcome: StoreOutcome,
    ) -> Vec<JournalOutput> {
        let Some(call) = self.calls.remove(&id) else {
            return Vec::new();
        };
        match (call, outcome) {
            (JournalCall::ReadBase, StoreOutcome::Found(stored)) => {
                self.base_version = stored.version;
                self.base = decode(&stored);
                self.fence_base()
            }
            (JournalCall::ReadBase, StoreOutcome::Missing) => {
                self.base_version = 0;
                self.base = None;
                self.fence_base()
            }
            (JournalCall::FenceBase(base), StoreOutcome::Written(version)) => {
                self.base_version = version;
                self.base = Some(base);
                self.read_journal()
            }
            (JournalCall::FenceBase(_), StoreOutcome::Conflict | StoreOutcome::Unknown) => {
                self.retry(now, JournalCall::ReadBase)
            }
            (JournalCall::ReadPart(part), StoreOutcome::Found(stored)) => {
                self.read_part(part, &stored)
            }
            (JournalCall::ReadPart(part), StoreOutcome::Missing) => {
                warn!("part {part} of the snapshot is missing");
                self.retry(now, JournalCall::ReadBase)
            }
            (JournalCall::ReadSlot(number), StoreOutcome::Found(stored)) => {
                self.read_slot(now, number, Some(&stored))
            }
            (JournalCall::ReadSlot(number), StoreOutcome::Missing) => {
                self.read_slot(now, number, None)
            }
            (JournalCall::WriteSegment, StoreOutcome::Written(version)) => {
                self.handle_segment_written(now, version)
            }
            (JournalCall::WriteSegment, StoreOutcome::Conflict | StoreOutcome::Unknown) => {
                vec![self.call(JournalCall::VerifySegment)]
            }
            (JournalCall::VerifySegment, StoreOutcome::Found(stored)) => {
                self.verify_segment(now, &stored)
            }
            (JournalCall::VerifySegment, StoreOutcome::Missing) => {
                self.slot_versions.remove(&(self.next_number % RING_SLOTS));
                vec![self.call(JournalCall::WriteSegment)]
            }
            (call, outcome) => self.handle_compaction_outcome(now, call, outcome),
        }
    }

    fn handle_segment_written(&mut self, now: Instant, version: KeyVersion) -> Vec<JournalOutput> {
        self.slot_versions.insert(self.next_number % RING_SLOTS, version);
        self.next_number += 1;
        let Some((segment, ticket)) = self.segment.take() else {
            return Vec::new();
        };
        self.journal_bytes += encode(&segment).len();
        let mut outputs = Vec::new();
        if matches!(self.stage, JournalStage::Fencing) {
            info!("journal of {} open from segment {}", self.domain, self.next_number);
            self.stage = JournalStage::Open;
            outputs.push(JournalOutput::Recovered(self.records.values().cloned().collect()));
        }
        if ticket > 0 {
            self.durable_ticket = self.durable_ticket.max(ticket);
            outputs.push(JournalOutput::Committed(ticket));
        }
        outputs.extend(self.tick(now));
        outputs
    }

    /// Determines from the content of the slot whether a write was made whose answer was lost or that
    /// met another version.
    fn verify_segment(&mut self, now: Instant, stored: &StoredValue) -> Vec<JournalOutput> {
        let Some((own, _)) = &self.segment else {
            return Vec::new();
        };
        match decode::<JournalSegment>(stored) {
            Some(found) if found.write_id == own.write_id => {
                self.handle_segment_written(now, stored.version)
            }
            Some(found) if found.number >= own.number => self.handle_foreign_segment(found),
            _ => {
                self.slot_versions.insert(self.next_number % RING_SLOTS, stored.version);
                vec![self.call(JournalCall::WriteSegment)]
            }
        }
    }

    /// Handles a segment of another leader in the slot that this leader was to write.
    fn handle_foreign_segment(&mut self, found: JournalSegment) -> Vec<JournalOutput> {
        let higher = self.token.as_ref().is_some_and(|token| found.token > *token);
        match (&self.stage, &self.token) {
            (JournalStage::Fencing, Some(token)) if !higher => {
                let token = token.clone();
                self.recover(token)
            }
            _ => vec![JournalOutput::Fenced],
        }
    }
}

fn encode<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

fn decode<T: DeserializeOwned>(stored: &StoredValue) -> Option<T> {
    serde_json::from_str(&stored.value).ok()
}
