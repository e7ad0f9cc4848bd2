//! Amounts of processors, memory and accelerators.

use serde::{Deserialize, Serialize};

/// A vector of resources; all arithmetic is checked or saturating.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ResourceVector {
    /// Accelerators, whole devices.
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
    /// Makes a vector from thousandths of a core, MiB and whole accelerators.
    pub const fn new(millicores: u32, memory_mib: u32, accelerators: u32) -> Self {
        Self { accelerators, millicores, memory_mib }
    }

    /// Tells whether `self` fits into `room` in every dimension.
    pub fn fits(&self, room: &Self) -> bool {
        self.millicores <= room.millicores
            && self.memory_mib <= room.memory_mib
            && self.accelerators <= room.accelerators
    }

    /// Subtracts, or gives `None` where a dimension would fall below zero.
    pub fn checked_sub(&self, other: &Self) -> Option<Self> {
        Some(Self {
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
            millicores: self.millicores.checked_sub(other.millicores)?,
            memory_mib: self.memory_mib.checked_sub(other.memory_mib)?,
        })
    }

    /// Subtracts, stopping at zero in each dimension.
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
        }
    }

    /// Adds, stopping at the largest value in each dimension.
    pub fn saturating_add(&self, other: &Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_add(other.accelerators),
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
        }
    }

    /// Multiplies every dimension by `count`, stopping at the largest value.
    pub fn times(&self, count: u32) -> Self {
        Self {
            accelerators: self.accelerators.saturating_mul(count),
            millicores: self.millicores.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count),
        }
    }

    /// A quarter of each dimension, rounded up.
    pub fn quarter(&self) -> Self {
        Self {
            accelerators: self.accelerators.div_ceil(4),
            millicores: self.millicores.div_ceil(4),
            memory_mib: self.memory_mib.div_ceil(4),
        }
    }

    /// The smaller of both in each dimension.
    pub fn component_min(&self, other: &Self) -> Self {
        Self {
            accelerators: self.accelerators.min(other.accelerators),
            millicores: self.millicores.min(other.millicores),
            memory_mib: self.memory_mib.min(other.memory_mib),
        }
    }

    /// The larger of both in each dimension.
    pub fn component_max(&self, other: &Self) -> Self {
        Self {
            accelerators: self.accelerators.max(other.accelerators),
            millicores: self.millicores.max(other.millicores),
            memory_mib: self.memory_mib.max(other.memory_mib),
        }
    }

    /// The largest fraction that `self` takes of `total` over all dimensions.
    pub fn dominant_share(&self, total: &Self) -> f64 {
        let share = |part: u32, whole: u32| f64::from(part) / f64::from(whole.max(1));
        share(self.millicores, total.millicores)
            .max(share(self.memory_mib, total.memory_mib))
            .max(share(self.accelerators, total.accelerators))
    }

    /// Name of the first dimension in which `self` exceeds `room`.
    pub fn exceeds(&self, room: &Self) -> Option<&'static str> {
        match self {
            need if need.accelerators > room.accelerators => Some("accelerators"),
            need if need.memory_mib > room.memory_mib => Some("memory"),
            need if need.millicores > room.millicores => Some("processors"),
            _ => None,
        }
    }
}
