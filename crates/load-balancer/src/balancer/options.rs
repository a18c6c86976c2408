//! The options of a balancer, and the other proxies.

use super::ablation::Ablation;
use quillpulley_protocol::Locality;

/// A live proxy, which may send requests to the same servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProxyPeer {
    /// The name that identifies the proxy.
    pub name: String,
    /// The zone and region of the proxy.
    pub locality: Locality,
}

/// The options of a balancer.
#[derive(Clone, Debug)]
pub struct Options {
    /// The name that identifies this proxy among the live proxies.
    pub name: String,
    /// The setting `WarmupOvershoot`: the factor on the `WarmupPerS` of a service in the limit on requests to
    /// a cold server.
    pub warmup_overshoot: f64,
    /// The setting `WarmupSlack`: the requests per second that are added to this limit.
    pub warmup_slack: f64,
    /// The seed of the random number generator.
    pub seed: u64,
    /// The mechanisms that an experiment disables.
    pub ablation: Ablation,
}
