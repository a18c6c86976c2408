//! The mechanisms of server selection that an experiment can disable.
//!
//! Release programs cannot disable any of them: without the feature `fault-injection`, every method returns
//! false.

quillpulley_fault_injection::define_faults! {
    /// The mechanisms of server selection that are disabled.
    Ablation {
        /// The cost of shared segments that a server has to prefill.
        prefix_affinity,
        /// The cost of queued tokens, and of a first byte that is expected after the target latency.
        queueing_cost,
        /// The cost of the pauses that a long prompt causes in the responses that a server streams.
        interference_cost,
        /// The cost of a server in another zone or region.
        network_cost,
        /// The cost of occupied slots and memory.
        occupancy_cost,
        /// The cost of a slow, failing or cold server.
        condition_cost,
        /// The random estimate of the requests that other proxies have sent since their latest load reports.
        unseen_load,
        /// The fit of the time to the first byte to observed responses. Without it, the prior is used.
        fitted_prefill_time,
        /// The rule that requests with long shared segments wait for a server that has cached them.
        cached_only,
        /// The rule that a busy server gets only requests that it is expected to prefill in time.
        busy_limit,
        /// The queue at each server that only urgent requests may use.
        urgent_queue,
        /// The ejection of servers that fail.
        outlier_detection,
        /// The avoidance of servers that do not respond.
        unresponsive_detection,
        /// The pause in sending after a server has rejected a request because it is full.
        full_time,
        /// The limit on requests to cold servers.
        slow_start,
    }
}
