//! The adapter to the platform's protocol: its names, paths and bodies occur in this module only.
//!
//! It decodes messages into the crate's own types. It makes no decisions, and its only state is open
//! connections.

mod advisor;
mod configuration;
mod http;
mod identity;
mod instance_start;
mod jobs;
mod registrations;
mod settings;
mod store;
mod workers;

pub(crate) use advisor::AdvisorClient;
pub(crate) use configuration::{CONFIG_KEY, CONFIG_PREFIX, decode_config};
pub(crate) use identity::{KEY_SCHEME, decode_api_key};
pub(crate) use jobs::{
    READY_PATH, decode_caller_timeout, decode_job, encode_pending, encode_state, is_job_name,
};
pub(crate) use registrations::{
    REGISTRATION_PREFIX, RegistrationError, decode_registration, worker_of_key,
};
pub use settings::{SETTINGS_VARIABLE, parse_platform_settings};
pub(crate) use store::{PAGE_TIMEOUT, PlatformStore};
pub(crate) use workers::{CallContext, PollCall, WorkerClient};

#[cfg(test)]
mod empty_store;
#[cfg(test)]
mod tests;

#[cfg(test)]
pub(crate) use empty_store::EmptyStore;
#[cfg(test)]
pub(crate) use tests::registration_fixture;
