//! The addresses at which a control node looks for others first.

use crate::Settings;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// A node that is in no view and reaches no other one reloads the seeds after this time.
const RELOAD_AFTER: Duration = Duration::from_secs(3);

/// The seeds, and since when the node has been isolated.
pub struct Seeds {
    addresses: Vec<SocketAddr>,
    isolated_since: Duration,
}

impl Seeds {
    /// Creates the seeds that the settings name at the start.
    pub fn new(now: Duration, addresses: Vec<SocketAddr>) -> Self {
        Seeds { addresses, isolated_since: now }
    }

    /// Returns the addresses.
    pub fn addresses(&self) -> impl Iterator<Item = Ipv4Addr> + '_ {
        self.addresses.iter().filter_map(|seed| match seed {
            SocketAddr::V4(seed) => Some(*seed.ip()),
            SocketAddr::V6(_) => None,
        })
    }

    /// Reloads the settings file.
    pub fn reload(&mut self) {
        match Settings::from_environment() {
            Ok(settings) => self.addresses = settings.seeds,
            Err(error) => log::warn!(error:% = error; "the seeds stay as they were"),
        }
    }

    /// Returns whether the node has been isolated for so long that the settings file has to be reloaded.
    pub fn is_reload_due(&mut self, now: Duration, is_isolated: bool) -> bool {
        let is_due = is_isolated && now >= self.isolated_since + RELOAD_AFTER;
        if is_due || !is_isolated {
            self.isolated_since = now;
        }
        is_due
    }
}
