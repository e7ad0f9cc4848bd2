//! The decisions about job graphs under failures: a leader, workers and a store in simulated time.

mod advice;
mod cancellation;
mod cases;
mod checker;
mod crashes;
mod found;
mod lasting;
mod links;
mod model;
mod overload;
mod random;
mod random_cancellation;
mod random_shards;
mod registrations;
mod restarts;
mod room;
mod shards;
mod storing;
mod stuck;
mod takeover;
mod unread_registrations;
mod waiting_checker;
mod world;
