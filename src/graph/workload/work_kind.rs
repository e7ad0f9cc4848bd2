//! The kind of a task's work, by which tasks of different jobs are compared.

use crate::graph::workload::job::GraphJob;
use crate::graph::workload::name::{ImageId, QueueId};
use crate::graph::workload::spec::StepSpec;

/// What a task has in common with similar tasks of other jobs: its image, or else its queue.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum WorkKind {
    /// It runs this image.
    Image(ImageId),
    /// It names no image and was submitted to this queue.
    Queue(QueueId),
}

impl WorkKind {
    /// The kind of a step's tasks.
    pub(crate) fn of(job: &GraphJob, step: &StepSpec) -> Self {
        match &step.image {
            Some(image) => Self::Image(image.clone()),
            None => Self::Queue(job.spec.queue.clone()),
        }
    }
}
