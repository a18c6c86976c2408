//! The order in which the evacuation commands for each zone were received.
//!
//! An evacuation command has neither an id nor a base version. A command that was delayed inside this process
//! (in a queue, or in a thread that did not run) must not undo one that was received later and has already
//! taken effect.

use std::collections::BTreeMap;
use std::time::Duration;

/// For each zone, the time at which the newest acknowledged or proposed command was received.
#[derive(Debug, Default)]
pub struct EvacuationOrder {
    newest: BTreeMap<String, Duration>,
}

impl EvacuationOrder {
    /// Records that a command for `zone` that was received at `received_at` was acknowledged or proposed.
    pub fn record(&mut self, zone: &str, received_at: Duration) {
        let newest = self.newest.entry(zone.to_string()).or_default();
        *newest = received_at.max(*newest);
    }

    /// Returns whether a command for `zone` that was received after `received_at` has been acknowledged or
    /// proposed.
    pub fn is_superseded(&self, zone: &str, received_at: Duration) -> bool {
        self.newest.get(zone).is_some_and(|newest| received_at < *newest)
    }

    /// Removes the records of commands that were received before `time`. Every command that is still to be
    /// decided must have been received at `time` or later.
    pub fn forget_before(&mut self, time: Duration) {
        self.newest.retain(|_, newest| *newest >= time);
    }
}
