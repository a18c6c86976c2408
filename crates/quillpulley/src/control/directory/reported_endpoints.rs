//! The proxy endpoints that report to this control node, or did so until recently.

use crate::control::distribution::endpoint_registry::is_suspected;
use quillpulley_protocol::ProxyEndpoint;
use quillpulley_state_sync::SubtreeState;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which an endpoint is kept after its last report. Its agent may be changing its parent, as all
/// agents do in turn while there is no primary.
pub const RETENTION: Duration = Duration::from_secs(2);

struct Reported {
    endpoint: ProxyEndpoint,
    reported_at: Duration,
}

/// The endpoints that report to this process, by name.
#[derive(Default)]
pub struct ReportedEndpoints {
    endpoints: BTreeMap<String, Reported>,
}

impl ReportedEndpoints {
    /// Updates the endpoints from the reports in `subtree` at `now`, and removes those that enough monitors
    /// suspect. While the published state is fresh, endpoints without a current report are not retained,
    /// because the primary has newer information.
    pub fn update(&mut self, now: Duration, subtree: &SubtreeState, is_fresh: bool) {
        let retention = if is_fresh { Duration::ZERO } else { RETENTION };
        self.endpoints.retain(|_, reported| now < reported.reported_at + retention);
        for endpoint in subtree.endpoints.values() {
            self.endpoints
                .insert(endpoint.name.clone(), Reported { endpoint: endpoint.clone(), reported_at: now });
        }
        self.endpoints.retain(|name, _| !is_suspected(subtree, name));
    }

    /// Returns the current and the retained endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &ProxyEndpoint> {
        self.endpoints.values().map(|reported| &reported.endpoint)
    }
}
