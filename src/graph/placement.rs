//! Where and when tasks run: placement passes, advice, home domains and preemption.

pub(super) mod advice;
mod advice_reserve;
pub(super) mod evacuation;
pub(super) mod home;
pub(super) mod need_bound;
pub(super) mod overdue_share;
pub(super) mod placer;
pub(super) mod preemption;
pub(super) mod serving_index;
pub(super) mod step_capacity;
