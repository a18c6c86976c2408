//! The fronts that report to this core process, or did until just now.

use super::endpoint_registry::is_suspected;
use quillpulley_protocol::ProxyEndpoint;
use quillpulley_state_sync::Subtree;
use std::collections::BTreeMap;
use std::time::Duration;

/// A front that is no longer reported counts for so long: its agent may be changing its parent, as all agents do in
/// turn while there is no primary.
pub const REMEMBERED: Duration = Duration::from_secs(2);

struct Reported {
    endpoint: ProxyEndpoint,
    /// When it was reported last.
    at: Duration,
}

/// The fronts that report to this process, by name.
#[derive(Default)]
pub struct ReportedEndpoints {
    endpoints: BTreeMap<String, Reported>,
}

impl ReportedEndpoints {
    /// Takes what is reported at `now`, without the fronts that their monitors cannot reach. While the published
    /// state is fresh nothing is remembered: the primary knows better.
    pub fn update(&mut self, now: Duration, subtree: &Subtree, fresh: bool) {
        let remembered = if fresh { Duration::ZERO } else { REMEMBERED };
        self.endpoints.retain(|_, reported| now < reported.at + remembered);
        for endpoint in subtree.endpoints.values() {
            self.endpoints.insert(endpoint.name.clone(), Reported { endpoint: endpoint.clone(), at: now });
        }
        self.endpoints.retain(|name, _| !is_suspected(subtree, name));
    }

    /// Those that count.
    pub fn endpoints(&self) -> impl Iterator<Item = &ProxyEndpoint> {
        self.endpoints.values().map(|reported| &reported.endpoint)
    }
}
