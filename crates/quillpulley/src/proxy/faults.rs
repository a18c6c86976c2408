//! Fault injection for tests, and the mechanisms that an experiment disables to measure their effect.

use quillpulley_load_balancer::Ablation;

quillpulley_fault_injection::define_faults! {
    /// Switches of a proxy: each injects a fault or disables a mechanism.
    Faults {
        /// Resends a request that is not idempotent after its connection broke.
        retry_after_reset,
        /// Accepts a response on the request's connection whatever request id it carries.
        ignore_response_ids,
        /// Disables queueing: requests are rejected at once if no server has capacity.
        queueing,
        /// Disables retries: a request has a single attempt.
        retries,
        /// Disables stream resumption: a stream that its server breaks off is not resumed at another server.
        stream_resumption,
    }
}

/// The injected faults and disabled mechanisms of a proxy. By default there are none; a program built without
/// the feature `fault-injection` cannot change that.
#[derive(Clone, Copy, Debug, Default)]
pub struct Experiment {
    /// Switches of the proxy itself.
    pub faults: Faults,
    /// Switches of the load balancer.
    pub ablation: Ablation,
}

impl Experiment {
    /// Disables the mechanism, or injects the fault, of this name. Returns false if the name is unknown.
    #[cfg(feature = "fault-injection")]
    pub fn switch_on(&mut self, name: &str) -> bool {
        self.faults.switch_on(name) || self.ablation.switch_on(name)
    }
}

impl From<Faults> for Experiment {
    fn from(faults: Faults) -> Self {
        Experiment { faults, ablation: Ablation::default() }
    }
}
