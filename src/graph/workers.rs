//! Workers as the leader knows them: instances, runs, health, polls and starts in flight.

pub(super) mod answer_time;
pub(super) mod fences;
pub(super) mod health;
pub(super) mod instances;
pub(super) mod late_calls;
pub(super) mod poll_pacer;
pub(super) mod registration_clock;
pub(super) mod run;
pub(super) mod run_costs;
pub(super) mod send_window;
pub(super) mod speed;
pub(super) mod worker;
pub(super) mod worker_event;
