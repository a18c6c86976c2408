//! The fronts that report to this core process, or did until just now.

use super::fronts::is_suspected;
use quillpulley_protocol::Front;
use quillpulley_state_sync::Subtree;
use std::collections::BTreeMap;
use std::time::Duration;

/// A front that is no longer reported counts for so long: its agent may be changing its parent, as all agents do in
/// turn while there is no primary.
pub const REMEMBERED: Duration = Duration::from_secs(2);

struct Reported {
    front: Front,
    /// When it was reported last.
    at: Duration,
}

/// The fronts that report to this process, by name.
#[derive(Default)]
pub struct ReportedFronts {
    fronts: BTreeMap<String, Reported>,
}

impl ReportedFronts {
    /// Takes what is reported at `now`, without the fronts that their monitors cannot reach. While the published
    /// state is fresh nothing is remembered: the primary knows better.
    pub fn update(&mut self, now: Duration, subtree: &Subtree, fresh: bool) {
        let remembered = if fresh { Duration::ZERO } else { REMEMBERED };
        self.fronts.retain(|_, reported| now < reported.at + remembered);
        for front in subtree.fronts.values() {
            self.fronts.insert(front.name.clone(), Reported { front: front.clone(), at: now });
        }
        self.fronts.retain(|name, _| !is_suspected(subtree, name));
    }

    /// Those that count.
    pub fn fronts(&self) -> impl Iterator<Item = &Front> {
        self.fronts.values().map(|reported| &reported.front)
    }
}
