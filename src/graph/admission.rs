//! What a workspace is entitled to, and which jobs are accepted when there is more work than capacity.

pub(super) mod allowance;
pub(super) mod forecast;
pub(super) mod service_rate;
pub(super) mod submission_rate;
pub(super) mod verdict;
pub(super) mod work_class;
pub(super) mod work_ledger;
