//! Which requests of this proxy's clients would be served better in another region.

use crate::proxy::config::active_config::ActiveConfig;
use quillpulley_load_balancer::{HomeDemand, ServedIn};
use std::cell::RefCell;
use std::time::Duration;

/// The demand for home regions, as the requests of clients show it.
pub struct HomeDemandCell(RefCell<HomeDemand>);

impl HomeDemandCell {
    /// Creates the demand at a proxy in a region.
    pub fn new(region: String) -> Self {
        HomeDemandCell(RefCell::new(HomeDemand::new(region)))
    }

    /// Counts a request to a host by the regions in which it may be served, where the active configuration leaves open
    /// whether most requests to that host may be served here.
    pub fn count(&self, now: Duration, config: &ActiveConfig, host: &str, homes: &[String]) {
        let mut demand = self.0.borrow_mut();
        if config.homes().of(host).served_in(demand.region()) == ServedIn::Some {
            demand.count(now, homes);
        }
    }

    /// Returns the regions whose proxies would serve the clients of this one better.
    pub fn preferred_regions(&self) -> Vec<String> {
        self.0.borrow().preferred_regions().to_vec()
    }

    /// Forgets the counts, after the homes have changed.
    pub fn reset(&self) {
        self.0.borrow_mut().reset();
    }
}
