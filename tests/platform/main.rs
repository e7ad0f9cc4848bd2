//! The running program against a stand-in of the platform: its store, workers and advisor.

mod cluster;
mod inputs;
mod jobs;
mod logs;
mod registrations;
mod shards;
mod standin;
mod succession;
