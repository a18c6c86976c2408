//! A published configuration that is not active, and why.

use displaydoc::Display;
use quillpulley_protocol::ProtocolError;
use quillpulley_serving_config::ConfigurationError;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Why a published configuration is not active.
#[derive(Debug, Display)]
pub enum PendingReason {
    /// its head cannot be decoded: {0}
    Undecodable(ProtocolError),
    /// {0}
    Unusable(ConfigurationError),
}

/// A published configuration that is not active.
#[derive(Debug)]
pub struct PendingConfig {
    /// The version. `None` if its head cannot be decoded.
    pub version: Option<u64>,
    /// Since when the newest published configuration has not been active; measured from the start of the process.
    pub since: Duration,
    /// Why it is not active.
    pub reason: PendingReason,
}

/// The shared cell of the pending configuration.
#[derive(Default)]
pub struct PendingConfigCell(RefCell<Option<Rc<PendingConfig>>>);

impl PendingConfigCell {
    /// Returns the pending configuration. `None` if the newest published one is active.
    pub fn get(&self) -> Option<Rc<PendingConfig>> {
        self.0.borrow().clone()
    }

    /// Returns since when a configuration has been pending. `None` if the newest published one is active.
    pub fn since(&self) -> Option<Duration> {
        self.0.borrow().as_ref().map(|pending| pending.since)
    }

    /// Records that the newest published configuration could not be activated at `now`.
    pub fn set(&self, now: Duration, version: Option<u64>, reason: PendingReason) {
        let since = self.since().unwrap_or(now);
        self.0.replace(Some(Rc::new(PendingConfig { version, since, reason })));
    }

    /// Records that the newest published configuration is active.
    pub fn clear(&self) {
        self.0.replace(None);
    }
}
