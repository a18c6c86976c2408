//! What a balancer is told of itself and of the other proxies.

use quillpulley_protocol::Locality;

/// A proxy that may send requests to servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProxyPeer {
    /// Its name.
    pub name: String,
    /// Where it is.
    pub locality: Locality,
}

/// What a balancer is told of itself, and the bounds that it keeps.
#[derive(Clone, Debug)]
pub struct Options {
    /// The name of this proxy.
    pub name: String,
    /// `WarmupOvershoot`: the factor on what a cold server bears.
    pub warmup_overshoot: f64,
    /// `WarmupSlack`: requests a second beyond that.
    pub warmup_slack: f64,
    /// All that is left to chance follows from it.
    pub seed: u64,
}
