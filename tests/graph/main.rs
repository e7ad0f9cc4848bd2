//! The decisions about job graphs under failures: a leader, workers and a store in simulated time.

mod advice;
mod cancellation;
mod cases;
mod found;
mod lasting;
mod model;
mod random;
mod random_cancellation;
mod registrations;
mod storing;
mod stuck;
mod world;
