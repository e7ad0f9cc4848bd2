//! Tests of the decisions about job graphs under failures: leaders, workers and a store in
//! simulated time.
mod admission;
mod advice;
mod cancellation;
mod capacity_changes;
mod cases;
mod combined_faults;
mod commit_order;
mod compaction;
mod crash_checker;
mod crashes;
mod lasting;
mod links;
mod model_worker;
mod overload;
mod random;
mod random_cancellation;
mod random_shards;
mod registrations;
mod restarts;
mod shards;
mod sim_cluster;
mod starvation;
mod takeover;
mod unread_registrations;
mod waiting_checker;
mod workspaces;
