//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// A cluster scheduler for unlike workloads.
    cmd kelplink {
        /// Run an entry process; without settings, the platform's file that KELPLINK_SETTINGS names.
        cmd serve {
            /// Settings file in TOML.
            optional --settings file: PathBuf
        }
        /// Check settings without running anything.
        cmd settings {
            /// Report every finding with its place; exit code 1 where there is one.
            cmd check {
                /// Settings file in TOML.
                required file: PathBuf
            }
        }
        /// Show what would change if an intent were accepted; writes the plan to standard output
        /// with --json. Exit code 3 where the plan is refused.
        cmd plan {
            /// Intent file in TOML, or WORKSPACE/NAME with --withdraw.
            required intent: String
            /// Plan to withdraw the intent of this name.
            optional --withdraw
            /// Where the entry answers operators.
            optional --entry address: String
            /// Print JSON.
            optional --json
        }
        /// Put a plan in force. Exit code 3 where it was refused, 4 where it is not settled.
        cmd confirm {
            /// Plan file in JSON; standard input where absent.
            optional plan: PathBuf
            /// Where the entry answers operators.
            optional --entry address: String
            /// Print JSON.
            optional --json
        }
        /// Cancel a job, WORKSPACE/ID.
        cmd cancel {
            /// The job.
            required job: String
            /// Where the entry answers callers.
            optional --entry address: String
            /// Print JSON.
            optional --json
        }
        /// Show entries, failure domains and intents.
        cmd status {
            /// Where the entry answers operators.
            optional --entry address: String
            /// Print JSON.
            optional --json
        }
        /// Show the state of one process as JSON.
        cmd dump {
            /// Where the entry answers operators.
            optional --entry address: String
        }
        /// Play the platform and its VMs.
        cmd stand-in {
            /// Settings file in TOML.
            required --settings file: PathBuf
        }
        /// Run everything in one process for a while and check what must hold.
        cmd demo {
            /// Seed of the workload.
            optional --seed number: u64
            /// Callers that send requests at a time.
            optional --callers number: u32
            /// Batch jobs that are submitted.
            optional --jobs number: u32
        }
    }
}
