//! Tracks in which regions the requests that arrive at a proxy may be served. If most of them may only be
//! served in other regions, the proxies of those regions serve the clients better, also during a partition
//! between the regions.
//!
//! Callers count only requests to hosts for which [`HostHomes::served_in`](crate::HostHomes::served_in)
//! returns [`ServedIn::Some`](crate::ServedIn::Some). For all other hosts the configuration alone determines
//! the region.

use std::collections::BTreeMap;
use std::time::Duration;

/// The half-life of the request counts.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// The minimum of the decayed request count for a change of the preferred regions.
const MIN_REQUESTS: f64 = 20.0;
/// Above this share of requests that may not be served in the proxy's region, other regions are preferred.
/// Below the second share, the proxy's region is preferred again. Between the two, the preference stays as it
/// is.
const PREFER_OTHERS_ABOVE: f64 = 0.55;
const PREFER_OWN_BELOW: f64 = 0.35;
/// A region is preferred if it is a home region of at least this share of the requests that may not be served
/// in the proxy's region.
const MIN_HOME_SHARE: f64 = 0.5;

/// Counts the requests of a proxy by home region, and determines the regions that are preferred over the
/// proxy's own.
#[derive(Debug, Default)]
pub struct HomeDemand {
    region: String,
    /// The time to which the counts have decayed.
    updated_at: Duration,
    /// The number of all requests.
    total: f64,
    /// The number of requests that may not be served in the proxy's region.
    elsewhere: f64,
    /// The number of those requests for each of their home regions.
    by_home: BTreeMap<String, f64>,
    preferred: Vec<String>,
}

impl HomeDemand {
    /// Creates empty counts for a proxy in `region`.
    pub fn new(region: String) -> Self {
        HomeDemand { region, ..HomeDemand::default() }
    }

    /// Returns the region of the proxy.
    pub fn region(&self) -> &str {
        &self.region
    }

    /// Counts a request with the home regions `homes`. Without any, it may be served everywhere.
    pub fn count(&mut self, now: Duration, homes: &[String]) {
        self.decay(now);
        self.total += 1.0;
        if !homes.is_empty() && !homes.contains(&self.region) {
            self.elsewhere += 1.0;
            for home in homes {
                *self.by_home.entry(home.clone()).or_default() += 1.0;
            }
        }
        self.update_preference();
    }

    /// Clears the counts and the preferred regions. Called after the home regions of routes have changed.
    pub fn reset(&mut self) {
        *self = HomeDemand::new(std::mem::take(&mut self.region));
    }

    /// Returns the regions whose proxies would serve the clients better; empty if the proxy's own region is
    /// preferred. While there are too few requests for a decision, the latest one remains in force.
    pub fn preferred_regions(&self) -> &[String] {
        &self.preferred
    }

    fn decay(&mut self, now: Duration) {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        let factor = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        self.total *= factor;
        self.elsewhere *= factor;
        self.by_home.values_mut().for_each(|count| *count *= factor);
    }

    fn update_preference(&mut self) {
        if self.total < MIN_REQUESTS {
            return;
        }
        let share = self.elsewhere / self.total;
        if share > PREFER_OTHERS_ABOVE {
            let min_count = self.elsewhere * MIN_HOME_SHARE;
            let common = self.by_home.iter().filter(|(_, count)| **count >= min_count);
            self.preferred = common.map(|(home, _)| home.clone()).collect();
        } else if share < PREFER_OWN_BELOW {
            self.preferred.clear();
        }
    }
}
