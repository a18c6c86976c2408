//! Exchange of server loads and retry usage with the other proxies.

use crate::proxy::state::ProxyState;
use quillpulley_protocol::{ServerLoad, ServiceCounters};
use quillpulley_retry_budget::ServiceUsage;
use quillpulley_state_sync::{LoadCounters, RetryCounters, Totals};

/// Applies the server loads summed over all proxies to the load balancer, and admits queued requests.
pub fn apply_loads(state: &ProxyState, totals: &Totals) {
    let loads: Vec<ServerLoad> = totals.counters.servers.iter().map(server_load).collect();
    state.upstreams.set_total_loads(&loads);
    state.admission.admit_all();
}

/// Applies the usage summed over all proxies to the retry budgets. Must be called in every report interval.
pub fn apply_usage(state: &ProxyState, totals: &Totals) {
    let services: Vec<ServiceUsage> = totals.counters.services.iter().map(service_usage).collect();
    let proxies = totals.counters.proxies as usize;
    state.retry_budgets.set_totals(state.now(), &services, proxies, totals.complete);
}

/// Returns this proxy's own usage per service in the latest window of the retry budget.
pub fn own_usage(state: &ProxyState) -> Vec<ServiceCounters> {
    state.retry_budgets.usage(state.now()).into_iter().map(service_counters).collect()
}

fn server_load((server, counters): (&u64, &LoadCounters)) -> ServerLoad {
    ServerLoad {
        server: *server,
        running: counters.running,
        waiting: counters.waiting,
        prompt_tokens: counters.prompt_tokens,
        failures: counters.failures,
    }
}

fn service_usage((service, counters): (&String, &RetryCounters)) -> ServiceUsage {
    ServiceUsage {
        service: service.clone(),
        requests: counters.requests,
        retries: counters.retries,
        rejected_retries: counters.rejected_retries,
    }
}

fn service_counters(usage: ServiceUsage) -> ServiceCounters {
    let ServiceUsage { service, requests, retries, rejected_retries } = usage;
    ServiceCounters { service, requests, retries, rejected_retries }
}
