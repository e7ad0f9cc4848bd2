//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// A cluster scheduler for mixed workloads.
    cmd kelplink {
        /// Run an entry process. Without --settings, use the platform's file named by KELPLINK_SETTINGS.
        cmd serve {
            /// Settings file in TOML.
            optional --settings file: PathBuf
        }
        /// Check settings without running anything.
        cmd settings {
            /// Report every error with its position. Exit code 1 if there is any.
            cmd check {
                /// Settings file in TOML.
                required file: PathBuf
            }
        }
        /// Show what would change if an intent were accepted; writes the plan to standard output
        /// with --json. Exit code 3 if the plan is refused.
        cmd plan {
            /// Intent file in TOML, or WORKSPACE/NAME with --withdraw.
            required intent: String
            /// Plan to withdraw the intent with this name.
            optional --withdraw
            /// Address of the entry's operator interface.
            optional --entry address: String
            /// Print JSON.
            optional --json
        }
        /// Put a plan in force. Exit code 3 if it is refused, 4 if the result is not known.
        cmd confirm {
            /// Plan file in JSON; standard input if absent.
            optional plan: PathBuf
            /// Address of the entry's operator interface.
            optional --entry address: String
            /// Print JSON.
            optional --json
        }
        /// Cancel a job, WORKSPACE/ID.
        cmd cancel {
            /// The job.
            required job: String
            /// Address of the entry's caller interface.
            optional --entry address: String
            /// Print JSON.
            optional --json
        }
        /// Show entries, failure domains and intents.
        cmd status {
            /// Address of the entry's operator interface.
            optional --entry address: String
            /// Print JSON.
            optional --json
        }
        /// Show the state of one process as JSON.
        cmd dump {
            /// Address of the entry's operator interface.
            optional --entry address: String
        }
        /// Run a stand-in for the platform and its VMs.
        cmd stand-in {
            /// Settings file in TOML.
            required --settings file: PathBuf
        }
        /// Run a whole cluster in one process for a while and check its invariants.
        cmd demo {
            /// Seed of the workload.
            optional --seed number: u64
            /// Number of callers that send requests concurrently.
            optional --callers number: u32
            /// Number of batch jobs to submit.
            optional --jobs number: u32
        }
    }
}
