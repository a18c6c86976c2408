//! Retry budgets that all proxies share. Each proxy limits its retries by a token bucket, whose refill rate
//! follows its share of the demand, and by a hard cap.
//!
//! For each service, a proxy counts the requests of clients, the retries that it sends, and the retries that
//! it rejects. Proxies exchange these counts. From the totals, each proxy derives its [limit](share::limit),
//! which sets the refill rate of a token bucket. A retry takes a token and is counted before it is sent.
//!
//! Totals may be stale, or missing during a partition, so the limits of all proxies may add up to more than
//! the target. Therefore each proxy also enforces a [hard cap](cap) on its own. The caps of all proxies add
//! up to no more than the system-wide bound, even if the proxies have different views of each other.
#![forbid(unsafe_code)]

mod budgets;
pub mod cap;
pub mod share;
mod token_bucket;
mod window_counters;

pub use budgets::{Options, RetryBudgets, ServiceUsage};
