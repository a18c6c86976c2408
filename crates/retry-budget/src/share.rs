//! The limit of a limiter, by its share of the demand for repeats.

/// What the limit of a service is derived from, all of it counts of the latest window.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// `RetryBudgetRatio` times the requests of all limiters.
    pub target: f64,
    /// Own repeats, sent and refused.
    pub own: f64,
    /// Repeats of all limiters, sent and refused.
    pub total: f64,
    /// Repeats that were sent by all limiters.
    pub used: f64,
    /// Number of limiters.
    pub proxies: usize,
}

/// Repeats that this limiter may send in a window: the target by its weight, raised towards the fallback by
/// what others leave unused.
pub fn limit(demand: &Demand) -> f64 {
    let fallback = demand.target / demand.proxies.max(1) as f64;
    let weighted = demand.target * weight(demand);
    if weighted >= fallback {
        return weighted;
    }
    let unused = (demand.target - demand.used).max(0.0);
    fallback.min(weighted + unused)
}

/// This limiter's part of all repeats. Totals may be older than its own counts, so it is at most one.
fn weight(demand: &Demand) -> f64 {
    if demand.total <= 0.0 {
        return 0.0;
    }
    (demand.own / demand.total).min(1.0)
}
