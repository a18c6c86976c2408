//! The mechanisms of the choice of a server that an experiment can leave out.
//!
//! The programs contain no way to leave one out: without the feature `fault-injection` every method is constant.

quillpulley_fault_injection::define_faults! {
    /// The mechanisms that are left out.
    Ablation {
        /// The cost of shared segments that a server has to prefill.
        prefix_affinity,
        /// The cost of queued tokens, and of a first byte after the target latency.
        queueing_cost,
        /// The cost of the pauses that a long prompt causes.
        interference_cost,
        /// The cost of another zone or region.
        network_cost,
        /// The cost of busy slots and memory.
        occupancy_cost,
        /// The cost of a slow, failing or cold server.
        condition_cost,
        /// The random number of requests that others have sent since their reports.
        unseen_load,
        /// The fit of the time to the first byte; the prior stays.
        fitted_prefill_time,
        /// Requests with long shared segments wait for a server that has cached them.
        cached_only,
        /// A busy server gets nothing that it would not prefill in time.
        busy_limit,
        /// The queue at servers that urgent requests may use.
        urgent_queue,
        /// The ejection of servers that fail.
        outlier_detection,
        /// The avoidance of servers that do not respond.
        unresponsive_detection,
        /// The pause after a server has rejected a request as full.
        full_time,
        /// The bound on requests to cold servers.
        slow_start,
    }
}
