//! The limit of a proxy, from its share of the demand for retries.

/// The counts of the latest window from which the limit of a service is derived.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// `RetryBudgetRatio` times the requests of all proxies.
    pub target: f64,
    /// Own retries, sent and rejected.
    pub own: f64,
    /// Retries of all proxies, sent and rejected.
    pub total: f64,
    /// Retries that were sent by all proxies.
    pub used: f64,
    /// Number of proxies.
    pub proxies: usize,
}

/// Returns the retries that this proxy may send in a window: the target times its weight, raised towards the fallback
/// by what others leave unused.
pub fn limit(demand: &Demand) -> f64 {
    let fallback = demand.target / demand.proxies.max(1) as f64;
    let weighted = demand.target * weight(demand);
    if weighted >= fallback {
        return weighted;
    }
    let unused = (demand.target - demand.used).max(0.0);
    fallback.min(weighted + unused)
}

/// Returns this proxy's fraction of all retries, which is at most one, as totals may be older than its own counts.
fn weight(demand: &Demand) -> f64 {
    if demand.total <= 0.0 {
        return 0.0;
    }
    (demand.own / demand.total).min(1.0)
}
