//! Derives the retry limit of a proxy from its share of the demand for retries.

/// The counts of the latest window from which the limit of a service is derived.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Number of retries that all proxies together may send: `RetryBudgetRatio` times their requests.
    pub target: f64,
    /// Retries of this proxy, sent and rejected.
    pub own: f64,
    /// Retries of all proxies, sent and rejected.
    pub total: f64,
    /// Retries of all proxies that were sent.
    pub used: f64,
    /// Number of proxies; 0 counts as one.
    pub proxies: usize,
}

/// Returns the number of retries that this proxy may send per window: the target times the proxy's weight. If
/// this is less than the fallback, which is an equal share of the target, the unused part of the target is
/// added, up to the fallback.
pub fn limit(demand: &Demand) -> f64 {
    let fallback = demand.target / demand.proxies.max(1) as f64;
    let weighted = demand.target * weight(demand);
    if weighted >= fallback {
        return weighted;
    }
    let unused = (demand.target - demand.used).max(0.0);
    fallback.min(weighted + unused)
}

/// Returns this proxy's fraction of all retries. It is limited to one, because the totals may be older than
/// the proxy's own counts.
fn weight(demand: &Demand) -> f64 {
    if demand.total <= 0.0 {
        return 0.0;
    }
    (demand.own / demand.total).min(1.0)
}
