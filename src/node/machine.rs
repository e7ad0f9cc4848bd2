//! Comparison of the machines that entries run on.

/// Fraction of the best processor or link below which a machine is weak: it leads only if no better one can.
const STRONG_SHARE: f64 = 0.5;

/// Processor and link of a machine, or the best of both among several machines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct MachineCapacity {
    /// Share of a processor core.
    pub(crate) processor: f64,
    /// Bandwidth of the link in Mbit/s.
    pub(crate) link_mbps: f64,
}

impl MachineCapacity {
    /// Returns the larger processor and the larger link of the two.
    pub(crate) fn best_of(self, other: Self) -> Self {
        let processor = self.processor.max(other.processor);
        Self { processor, link_mbps: self.link_mbps.max(other.link_mbps) }
    }

    /// Whether processor and link are both at least half of those of `best`.
    pub(crate) fn is_strong(self, best: Self) -> bool {
        self.processor >= best.processor * STRONG_SHARE
            && self.link_mbps >= best.link_mbps * STRONG_SHARE
    }

    /// Whether the processor or the link is more than twice that of `other`, and neither is less than half of it.
    pub(crate) fn exceeds(self, other: Self) -> bool {
        self.is_strong(other) && !other.is_strong(self)
    }
}
