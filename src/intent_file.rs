//! Parses intents that operators write in TOML.

use jiff::Timestamp;

use crate::diagnostic::DiagnosticList;
use crate::id::{DomainId, UnixMillis};
use crate::intent::{CutOffRule, IntentSpec, JobKind, SpreadRule, Urgency};
use crate::reader::{DiagnosticSink, TableReader};
use crate::resources::ResourceVector;

type Result<T> = std::result::Result<T, DiagnosticList>;

/// Largest number of tasks that one job may have.
pub(crate) const MAX_TASKS: u64 = 10_000;
/// Largest reservation in thousandths of a core.
const MAX_MILLICORES: u64 = 1_024_000;
/// Largest reservation of memory in MiB.
const MAX_MEMORY_MIB: u64 = 16 * 1024 * 1024;
/// Largest reservation of accelerators.
const MAX_ACCELERATORS: u64 = 64;
/// Longest declared run time: thirty days.
const MAX_RUN_TIME_MS: u64 = 30 * 24 * 3_600_000;

/// Parses an intent; on failure the error lists all mistakes, not only the first.
pub fn parse_intent(source: &str, text: &str) -> Result<IntentSpec> {
    let (table, mut sink) = DiagnosticSink::parse(source, text);
    let mut reader = TableReader::new(&table);
    let spec = read_intent(&mut reader, &mut sink);
    reader.finish(&mut sink);
    sink.finish(spec)
}

fn read_intent(
    reader: &mut TableReader<'_, '_>,
    sink: &mut DiagnosticSink<'_>,
) -> Option<IntentSpec> {
    let workspace = read_name(reader, "workspace", sink);
    let name = read_name(reader, "name", sink);
    let kinds = [
        ("service", JobKind::Service),
        ("batch", JobKind::Batch),
        ("all-at-once", JobKind::AllAtOnce),
    ];
    let kind = reader.choice("kind", &kinds, None, sink);
    let need = read_resources(reader, sink);
    let count = reader.integer("count", 0..=MAX_TASKS, Some(1), sink);
    let urgency = read_urgency(reader, sink);
    let idempotent = reader.boolean("idempotent", true, sink);
    let spreads = [
        ("none", SpreadRule::None),
        ("rack", SpreadRule::Rack),
        ("failure-domain", SpreadRule::FailureDomain),
    ];
    let spread = reader.choice("spread", &spreads, Some(SpreadRule::None), sink);
    let cut_off_rules = [("stay", CutOffRule::Stay), ("move", CutOffRule::Move)];
    let cut_off = reader.choice("cut_off", &cut_off_rules, Some(CutOffRule::Stay), sink);
    let domain = reader.optional_string("failure_domain", sink);
    let run_time = reader.integer("run_time_ms", 0..=MAX_RUN_TIME_MS, Some(0), sink);
    let command = reader.optional_string("command", sink).unwrap_or_default();
    let quota = read_quota(reader, sink);
    Some(IntentSpec {
        workspace: workspace?.into(),
        name: name?.into(),
        kind: kind?,
        need: need?,
        count: u32::try_from(count?).ok()?,
        urgency: urgency?,
        idempotent: idempotent?,
        spread: spread?,
        cut_off: cut_off?,
        domain: domain.map(DomainId::from),
        run_time: run_time.filter(|ms| *ms > 0).map(std::time::Duration::from_millis),
        quota,
        command,
    })
}

fn read_name(
    reader: &mut TableReader<'_, '_>,
    key: &'static str,
    sink: &mut DiagnosticSink<'_>,
) -> Option<String> {
    let name = reader.string(key, sink)?;
    match is_name(&name) {
        true => Some(name),
        false => {
            let expected = "expected 1 to 64 letters, digits, `-`, `_` or `.`";
            sink.add(reader.span(), format!("`{key}` is {name:?}: {expected}"));
            None
        }
    }
}

/// Returns whether `name` may be a part of an identifier.
pub(crate) fn is_name(name: &str) -> bool {
    (1..=64).contains(&name.len())
        && name.chars().all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.'))
}

fn read_resources(
    reader: &mut TableReader<'_, '_>,
    sink: &mut DiagnosticSink<'_>,
) -> Option<ResourceVector> {
    let millicores = reader.integer("processors_milli", 1..=MAX_MILLICORES, None, sink);
    let memory = reader.integer("memory_mib", 1..=MAX_MEMORY_MIB, None, sink);
    let accelerators = reader.integer("accelerators", 0..=MAX_ACCELERATORS, Some(0), sink);
    resource_vector(millicores?, memory?, accelerators?)
}

fn read_quota(
    reader: &mut TableReader<'_, '_>,
    sink: &mut DiagnosticSink<'_>,
) -> Option<ResourceVector> {
    let mut quota = reader.table("quota", sink)?;
    let max_amount = u64::from(u32::MAX);
    let millicores = quota.integer("processors_milli", 0..=max_amount, None, sink);
    let memory = quota.integer("memory_mib", 0..=max_amount, None, sink);
    let accelerators = quota.integer("accelerators", 0..=max_amount, Some(0), sink);
    quota.finish(sink);
    resource_vector(millicores?, memory?, accelerators?)
}

fn resource_vector(millicores: u64, memory: u64, accelerators: u64) -> Option<ResourceVector> {
    Some(ResourceVector::new(
        u32::try_from(millicores).ok()?,
        u32::try_from(memory).ok()?,
        u32::try_from(accelerators).ok()?,
    ))
}

fn read_urgency(
    reader: &mut TableReader<'_, '_>,
    sink: &mut DiagnosticSink<'_>,
) -> Option<Urgency> {
    let text = reader.optional_string("urgency", sink);
    match text.as_deref() {
        None | Some("soon") => Some(Urgency::Soon),
        Some("now") => Some(Urgency::Now),
        Some(time) => {
            let deadline = parse_time(time);
            if deadline.is_none() {
                let expected = "expected \"now\", \"soon\" or a time like \"2026-12-03T06:00:00Z\"";
                sink.add(reader.span(), format!("`urgency` is {time:?}: {expected}"));
            }
            deadline.map(Urgency::By)
        }
    }
}

fn parse_time(text: &str) -> Option<UnixMillis> {
    let time: Timestamp = text.parse().ok()?;
    u64::try_from(time.as_millisecond()).ok()
}
