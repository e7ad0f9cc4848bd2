//! What a workspace is entitled to: its submission rate and its caps.

pub(super) mod allowance;
pub(super) mod submission_rate;
