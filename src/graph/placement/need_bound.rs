//! Smallest need among many steps.

use std::collections::BTreeMap;

use crate::resources::ResourceVector;

/// How often each amount is needed, in each dimension.
#[derive(Debug, Default)]
pub(crate) struct NeedBound {
    millicores: BTreeMap<u32, usize>,
    memory_mib: BTreeMap<u32, usize>,
    accelerators: BTreeMap<u32, usize>,
}

impl NeedBound {
    /// Adds the need of a step.
    pub(crate) fn add(&mut self, need: &ResourceVector) {
        *self.millicores.entry(need.millicores).or_default() += 1;
        *self.memory_mib.entry(need.memory_mib).or_default() += 1;
        *self.accelerators.entry(need.accelerators).or_default() += 1;
    }

    /// Removes the need of a step that was added.
    pub(crate) fn remove(&mut self, need: &ResourceVector) {
        decrement(&mut self.millicores, need.millicores);
        decrement(&mut self.memory_mib, need.memory_mib);
        decrement(&mut self.accelerators, need.accelerators);
    }

    /// Lower bound of all needs in each dimension; zero if there are none.
    pub(crate) fn smallest(&self) -> ResourceVector {
        let first = |amounts: &BTreeMap<u32, usize>| {
            amounts.first_key_value().map_or(0, |(amount, _)| *amount)
        };
        ResourceVector::new(
            first(&self.millicores),
            first(&self.memory_mib),
            first(&self.accelerators),
        )
    }
}

fn decrement(amounts: &mut BTreeMap<u32, usize>, amount: u32) {
    if let Some(count) = amounts.get_mut(&amount) {
        *count -= 1;
        if *count == 0 {
            amounts.remove(&amount);
        }
    }
}
