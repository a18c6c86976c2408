//! Where the requests that arrive at a proxy may be served. If most of them have their home regions elsewhere, their
//! clients are served better by the proxies there, also during a partition between the regions.
//!
//! It counts requests of hosts only some of whose requests may be served here. For other hosts the configuration
//! alone decides (see [`HostHomes`](crate::HostHomes)).

use std::collections::BTreeMap;
use std::time::Duration;

/// The half-life of counts.
const HALVING_TIME: Duration = Duration::from_secs(5);
/// The least number of requests for a decision.
const ENOUGH_REQUESTS: f64 = 20.0;
/// Above this share of requests that may not be served here, other regions are preferred; below the second share,
/// this region is preferred again.
const PREFER_OTHERS_FROM: f64 = 0.55;
const PREFER_OWN_FROM: f64 = 0.35;
/// A region is preferred if it is a home of this share of the requests that may not be served here.
const COMMON_HOME: f64 = 0.5;

/// Counts of requests by whether they may be served in the proxy's region, and the regions that are preferred over
/// it.
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
    /// Creates the counts of a proxy in a region.
    pub fn new(region: String) -> Self {
        HomeDemand { region, ..HomeDemand::default() }
    }

    /// Returns the region of the proxy.
    pub fn region(&self) -> &str {
        &self.region
    }

    /// Counts a request that may be served in `homes`; anywhere if there are none.
    pub fn count(&mut self, now: Duration, homes: &[String]) {
        self.decay(now);
        self.all += 1.0;
        if !homes.is_empty() && !homes.contains(&self.region) {
            self.elsewhere += 1.0;
            for home in homes {
                *self.by_home.entry(home.clone()).or_default() += 1.0;
            }
        }
        self.decide();
    }

    /// Forgets the counts and the decision after the homes of requests have changed.
    pub fn reset(&mut self) {
        *self = HomeDemand::new(std::mem::take(&mut self.region));
    }

    /// Returns the regions whose proxies would serve the clients better; empty if this region does. While there are
    /// too few requests, the latest decision holds.
    pub fn preferred_regions(&self) -> &[String] {
        &self.preferred
    }

    fn decay(&mut self, now: Duration) {
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
