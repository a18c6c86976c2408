//! The seed addresses, which a control node contacts first to find other control nodes.

use crate::Settings;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Time after which a node that is in no view and has no connection to another node reloads the seeds.
const RELOAD_AFTER: Duration = Duration::from_secs(3);

/// The seeds, and the time since which the node has been isolated.
pub struct Seeds {
    addresses: Vec<SocketAddr>,
    isolated_since: Duration,
}

impl Seeds {
    /// Creates the seeds from the addresses that the settings contain at the start.
    pub fn new(now: Duration, addresses: Vec<SocketAddr>) -> Self {
        Seeds { addresses, isolated_since: now }
    }

    /// Returns the IPv4 addresses of the seeds; other addresses are ignored.
    pub fn addresses(&self) -> impl Iterator<Item = Ipv4Addr> + '_ {
        self.addresses.iter().filter_map(|seed| match seed {
            SocketAddr::V4(seed) => Some(*seed.ip()),
            SocketAddr::V6(_) => None,
        })
    }

    /// Reloads the seeds from the settings file. Keeps them if the file cannot be read.
    pub fn reload(&mut self) {
        match Settings::from_environment() {
            Ok(settings) => self.addresses = settings.seeds,
            Err(error) => {
                log::warn!(error:% = error; "failed to reload the settings file; keeping the previous seeds")
            }
        }
    }

    /// Returns whether the node has been isolated for `RELOAD_AFTER`, so that the seeds have to be
    /// reloaded. The time is measured again from each reload.
    pub fn is_reload_due(&mut self, now: Duration, is_isolated: bool) -> bool {
        let is_due = is_isolated && now >= self.isolated_since + RELOAD_AFTER;
        if is_due || !is_isolated {
            self.isolated_since = now;
        }
        is_due
    }
}
