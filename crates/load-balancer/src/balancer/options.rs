//! The options of a balancer, and the other proxies.

use super::ablation::Ablation;
use quillpulley_protocol::Locality;

/// A proxy that may send requests to servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProxyPeer {
    /// Its name.
    pub name: String,
    /// The locality.
    pub locality: Locality,
}

/// The options of a balancer.
#[derive(Clone, Debug)]
pub struct Options {
    /// The name of this proxy.
    pub name: String,
    /// `WarmupOvershoot`: the factor on what a cold server bears.
    pub warmup_overshoot: f64,
    /// `WarmupSlack`: requests a second beyond that.
    pub warmup_slack: f64,
    /// The seed of random numbers.
    pub seed: u64,
    /// The mechanisms that an experiment leaves out.
    pub ablation: Ablation,
}
