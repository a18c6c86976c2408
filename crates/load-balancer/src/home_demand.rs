//! Where the requests that come to a proxy may be served: if most of them have their homes in other regions, their
//! clients are better served by the proxies there, and a cut between the regions does not part them from servers.
//!
//! It counts requests of hosts only some of whose requests may be served here: for other hosts the configuration
//! alone tells (see [`HostHomes`](crate::HostHomes)).

use std::collections::BTreeMap;
use std::time::Duration;

/// Counts lose half of their weight in this time.
const HALVING_TIME: Duration = Duration::from_secs(5);
/// So many requests say something.
const ENOUGH_REQUESTS: f64 = 20.0;
/// Above this share of requests that may not be served here, other regions are preferred; below the second one, this
/// region is again.
const PREFER_OTHERS_FROM: f64 = 0.55;
const PREFER_OWN_FROM: f64 = 0.35;
/// A region is preferred if it is a home of so large a part of the requests that may not be served here.
const COMMON_HOME: f64 = 0.5;

/// Counts of requests by whether they may be served in the own region, and the regions to prefer over it.
#[derive(Debug, Default)]
pub struct HomeDemand {
    region: String,
    counted: Duration,
    all: f64,
    elsewhere: f64,
    by_home: BTreeMap<String, f64>,
    preferred: Vec<String>,
}

impl HomeDemand {
    /// For a proxy in `region`.
    pub fn new(region: String) -> Self {
        HomeDemand { region, ..HomeDemand::default() }
    }

    /// Returns the region of the proxy.
    pub fn region(&self) -> &str {
        &self.region
    }

    /// Counts a request that may be served in `homes`; anywhere if there are none.
    pub fn count(&mut self, now: Duration, homes: &[String]) {
        self.fade(now);
        self.all += 1.0;
        if !homes.is_empty() && !homes.contains(&self.region) {
            self.elsewhere += 1.0;
            for home in homes {
                *self.by_home.entry(home.clone()).or_default() += 1.0;
            }
        }
        self.decide();
    }

    /// The homes of requests have changed: what was decided is open again.
    pub fn reset(&mut self) {
        *self = HomeDemand::new(std::mem::take(&mut self.region));
    }

    /// Returns the regions whose proxies suit the clients here better; empty while the own region does. While too few
    /// requests come, the latest decision holds.
    pub fn preferred_regions(&self) -> &[String] {
        &self.preferred
    }

    fn fade(&mut self, now: Duration) {
        let age = now.saturating_sub(self.counted).as_secs_f64();
        self.counted = self.counted.max(now);
        let factor = 0.5_f64.powf(age / HALVING_TIME.as_secs_f64());
        self.all *= factor;
        self.elsewhere *= factor;
        self.by_home.values_mut().for_each(|count| *count *= factor);
    }

    fn decide(&mut self) {
        if self.all < ENOUGH_REQUESTS {
            return;
        }
        let share = self.elsewhere / self.all;
        if share > PREFER_OTHERS_FROM {
            let enough = self.elsewhere * COMMON_HOME;
            let common = self.by_home.iter().filter(|(_, count)| **count >= enough);
            self.preferred = common.map(|(home, _)| home.clone()).collect();
        } else if share < PREFER_OWN_FROM {
            self.preferred.clear();
        }
    }
}
