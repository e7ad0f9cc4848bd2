//! Decodes the start time of a worker instance.

use serde::{Deserialize, Deserializer};

use crate::graph::InstanceStart;

/// Decodes the start time of a worker instance, for a field that may be absent. A value that is present has
/// to be a whole number; `null` is an error, too.
///
/// # Errors
/// Returns the decoder's error for a value of another type.
pub(super) fn decode_instance_start<'d, D: Deserializer<'d>>(
    decoder: D,
) -> std::result::Result<InstanceStart, D::Error> {
    u64::deserialize(decoder).map(Some)
}
