//! What this proxy tells the others of its load and its counts, and what they tell.

use super::plane::Plane;
use quillpulley_protocol::{ServerLoad, ServiceCounters};
use quillpulley_retry_budget::ServiceUsage;
use quillpulley_state_sync::{LoadCounters, RetryCounters, Totals};
use std::rc::Rc;

impl Plane {
    /// What all proxies have under way.
    pub fn set_totals(self: &Rc<Self>, totals: &Totals) {
        let loads: Vec<ServerLoad> = totals.counts.servers.iter().map(server_load).collect();
        self.balancer().borrow_mut().set_totals(self.now(), &loads);
        self.admit_all();
    }

    /// Returns what this proxy has under way.
    pub fn own_loads(&self) -> Vec<ServerLoad> {
        self.balancer().borrow_mut().own_loads(self.now())
    }

    /// Sets the rates of the retry budgets. To be called every exchange period.
    pub fn update_budgets(&self, totals: &Totals) {
        let services: Vec<ServiceUsage> = totals.counts.services.iter().map(service_totals).collect();
        let limiters = totals.counts.proxies as usize;
        self.budgets().borrow_mut().set_totals(self.now(), &services, limiters, totals.complete);
    }

    /// Returns what this proxy counted of late.
    pub fn service_counts(&self) -> Vec<ServiceCounters> {
        let counts = self.budgets().borrow().counts(self.now());
        counts.into_iter().map(service_counters).collect()
    }
}

fn server_load((server, tally): (&u64, &LoadCounters)) -> ServerLoad {
    ServerLoad {
        server: *server,
        running: tally.running,
        waiting: tally.waiting,
        prompt_tokens: tally.prompt_tokens,
        failures: tally.failures,
    }
}

fn service_totals((service, tally): (&String, &RetryCounters)) -> ServiceUsage {
    ServiceUsage {
        service: service.clone(),
        requests: tally.requests,
        retries: tally.retries,
        rejected_retries: tally.rejected_retries,
    }
}

fn service_counters(counts: ServiceUsage) -> ServiceCounters {
    let ServiceUsage { service, requests, retries, rejected_retries } = counts;
    ServiceCounters { service, requests, retries, rejected_retries }
}
