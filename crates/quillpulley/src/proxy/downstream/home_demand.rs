//! Counts requests whose clients would be served better by proxies in another region.

use crate::proxy::config::active_config::ActiveConfig;
use quillpulley_load_balancer::{HomeDemand, ServedIn};
use std::cell::RefCell;
use std::time::Duration;

/// The counts of client requests by home region, shared by all requests.
pub struct HomeDemandCell(RefCell<HomeDemand>);

impl HomeDemandCell {
    /// Creates empty counts for a proxy in this region.
    pub fn new(region: String) -> Self {
        HomeDemandCell(RefCell::new(HomeDemand::new(region)))
    }

    /// Counts a request by its home regions, if only some requests to its host may be served in this region.
    /// For other hosts the configuration alone decides which region is preferred.
    pub fn count(&self, now: Duration, config: &ActiveConfig, host: &str, home_regions: &[String]) {
        let mut demand = self.0.borrow_mut();
        if config.homes().of(host).served_in(demand.region()) == ServedIn::Some {
            demand.count(now, home_regions);
        }
    }

    /// Returns the regions whose proxies would serve the clients of this proxy better. Empty if this region
    /// serves them best.
    pub fn preferred_regions(&self) -> Vec<String> {
        self.0.borrow().preferred_regions().to_vec()
    }

    /// Discards all counts after the home regions in the configuration have changed.
    pub fn reset(&self) {
        self.0.borrow_mut().reset();
    }
}
