//! Tests of entry processes against a stand-in of the platform: its store, workers and advisor.

mod cluster;
mod deposed_leader;
mod identity;
mod inputs;
mod jobs;
mod logs;
mod registrations;
mod shards;
mod standin;
