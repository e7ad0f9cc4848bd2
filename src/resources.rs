//! Amounts of processors, memory and accelerators.

use serde::{Deserialize, Serialize};

/// An amount of each resource; all arithmetic is checked or saturating.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ResourceVector {
    /// Accelerators, in whole devices.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub accelerators: u32,
    /// Processors in thousandths of a core.
    pub millicores: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
}

fn is_zero(amount: &u32) -> bool {
    *amount == 0
}

impl ResourceVector {
    /// Creates a vector from thousandths of a core, MiB and whole accelerators.
    pub const fn new(millicores: u32, memory_mib: u32, accelerators: u32) -> Self {
        Self { accelerators, millicores, memory_mib }
    }

    /// Returns whether `self` is at most `available` in every dimension.
    pub fn fits(&self, available: &Self) -> bool {
        self.millicores <= available.millicores
            && self.memory_mib <= available.memory_mib
            && self.accelerators <= available.accelerators
    }

    /// Subtracts; returns `None` if a dimension would become negative.
    pub fn checked_sub(&self, other: &Self) -> Option<Self> {
        Some(Self {
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
            millicores: self.millicores.checked_sub(other.millicores)?,
            memory_mib: self.memory_mib.checked_sub(other.memory_mib)?,
        })
    }

    /// Subtracts, saturating at zero in each dimension.
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
        }
    }

    /// Adds, saturating at the largest value in each dimension.
    pub fn saturating_add(&self, other: &Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_add(other.accelerators),
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
        }
    }

    /// Multiplies each dimension by `count`, saturating at the largest value.
    pub fn times(&self, count: u32) -> Self {
        Self {
            accelerators: self.accelerators.saturating_mul(count),
            millicores: self.millicores.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count),
        }
    }

    /// Returns a quarter of each dimension, rounded up.
    pub fn quarter(&self) -> Self {
        Self {
            accelerators: self.accelerators.div_ceil(4),
            millicores: self.millicores.div_ceil(4),
            memory_mib: self.memory_mib.div_ceil(4),
        }
    }

    /// Returns the smaller value of each dimension.
    pub fn component_min(&self, other: &Self) -> Self {
        Self {
            accelerators: self.accelerators.min(other.accelerators),
            millicores: self.millicores.min(other.millicores),
            memory_mib: self.memory_mib.min(other.memory_mib),
        }
    }

    /// Returns the larger value of each dimension.
    pub fn component_max(&self, other: &Self) -> Self {
        Self {
            accelerators: self.accelerators.max(other.accelerators),
            millicores: self.millicores.max(other.millicores),
            memory_mib: self.memory_mib.max(other.memory_mib),
        }
    }

    /// Returns the dominant share: the largest fraction of `total` over all dimensions.
    pub fn dominant_share(&self, total: &Self) -> f64 {
        let share = |part: u32, whole: u32| f64::from(part) / f64::from(whole.max(1));
        share(self.millicores, total.millicores)
            .max(share(self.memory_mib, total.memory_mib))
            .max(share(self.accelerators, total.accelerators))
    }

    /// Returns the name of a dimension in which `self` exceeds `available`, checked in the order
    /// accelerators, memory, processors.
    pub fn exceeded_resource(&self, available: &Self) -> Option<&'static str> {
        match self {
            need if need.accelerators > available.accelerators => Some("accelerators"),
            need if need.memory_mib > available.memory_mib => Some("memory"),
            need if need.millicores > available.millicores => Some("processors"),
            _ => None,
        }
    }
}
