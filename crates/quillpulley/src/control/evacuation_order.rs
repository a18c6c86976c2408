//! The order of commands on a zone's evacuation by when they were received.
//!
//! A command on an evacuation has no id and no base. One that was held up inside this process (in a queue, or in a
//! thread that did not run) must not undo one that was received after it and has taken effect meanwhile.

use std::collections::BTreeMap;
use std::time::Duration;

/// For each zone, when the newest command was received that was acknowledged or proposed.
#[derive(Debug, Default)]
pub struct EvacuationOrder {
    newest: BTreeMap<String, Duration>,
}

impl EvacuationOrder {
    /// Records that a command on a zone, received at a time, was acknowledged or proposed.
    pub fn record(&mut self, zone: &str, received_at: Duration) {
        let newest = self.newest.entry(zone.to_string()).or_default();
        *newest = received_at.max(*newest);
    }

    /// Returns whether a command that was received later has been acknowledged or proposed.
    pub fn is_superseded(&self, zone: &str, received_at: Duration) -> bool {
        self.newest.get(zone).is_some_and(|newest| received_at < *newest)
    }

    /// Forgets commands received before a time. No command that is still to be decided may be older.
    pub fn forget_before(&mut self, time: Duration) {
        self.newest.retain(|_, newest| *newest >= time);
    }
}
