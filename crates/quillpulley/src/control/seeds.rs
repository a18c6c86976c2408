//! The addresses at which a core process looks for others first.

use crate::Settings;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// A process that is in no view and reaches no other reads the seeds in its settings file anew after this
/// time.
const SEEDS_AGAIN_AFTER: Duration = Duration::from_secs(3);

/// The seeds, and since when they have led nowhere.
pub struct Seeds {
    addresses: Vec<SocketAddr>,
    isolated_since: Duration,
}

impl Seeds {
    /// The seeds of the settings at the start.
    pub fn new(now: Duration, addresses: Vec<SocketAddr>) -> Self {
        Seeds { addresses, isolated_since: now }
    }

    /// Where to look.
    pub fn addresses(&self) -> impl Iterator<Item = Ipv4Addr> + '_ {
        self.addresses.iter().filter_map(|seed| match seed {
            SocketAddr::V4(seed) => Some(*seed.ip()),
            SocketAddr::V6(_) => None,
        })
    }

    /// Reads the settings file anew.
    pub fn read_again(&mut self) {
        match Settings::from_environment() {
            Ok(settings) => self.addresses = settings.seeds,
            Err(error) => log::warn!("the seeds stay as they were: {error}"),
        }
    }

    /// Whether the process has been `isolated` for so long that the settings file is to be read anew.
    pub fn are_due(&mut self, now: Duration, isolated: bool) -> bool {
        let due = isolated && now >= self.isolated_since + SEEDS_AGAIN_AFTER;
        if due || !isolated {
            self.isolated_since = now;
        }
        due
    }
}
