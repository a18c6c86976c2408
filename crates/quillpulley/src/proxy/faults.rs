//! The deliberate faults of a proxy, and the mechanisms that an experiment leaves out.

use quillpulley_load_balancer::Ablation;

quillpulley_fault_injection::define_faults! {
    /// The faults of a proxy.
    Faults {
        /// A request that is not idempotent is sent again after its connection broke.
        retry_after_reset,
        /// A response is accepted for the request that waits on its connection, whatever id it has.
        ignore_response_ids,
        /// Requests are rejected at once where no server has capacity.
        queueing,
        /// A request is sent to one server only.
        retries,
        /// A stream whose server breaks it off is not resumed elsewhere.
        stream_resumption,
    }
}

/// What an experiment changes in a proxy; nothing in a released program.
#[derive(Clone, Copy, Debug, Default)]
pub struct Experiment {
    /// Faults and mechanisms of the proxy itself.
    pub faults: Faults,
    /// Mechanisms of the choice of a server.
    pub ablation: Ablation,
}

impl Experiment {
    /// Leaves out a mechanism. Returns false if there is none of this name.
    #[cfg(feature = "fault-injection")]
    pub fn leave_out(&mut self, name: &str) -> bool {
        self.faults.switch_on(name) || self.ablation.switch_on(name)
    }
}

impl From<Faults> for Experiment {
    fn from(faults: Faults) -> Self {
        Experiment { faults, ablation: Ablation::default() }
    }
}
