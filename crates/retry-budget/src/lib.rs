//! Retry budgets that all proxies share: shares of demand, token buckets and a hard cap.
//!
//! For each service a proxy counts the requests of clients, the retries that it sends, and those that it rejects.
//! Proxies exchange these counts; from the totals each derives its [limit](share::limit), which fills a token bucket.
//! A retry needs a token, and is counted before it is sent.
//!
//! Totals may be stale, or missing during a partition, so that the limits of all proxies may add up to more than the
//! target. In addition there is a [hard cap](cap) for each proxy alone. The caps of all proxies add up to no more
//! than the bound of the whole system, whatever each of them believes about the others.
#![forbid(unsafe_code)]

mod budgets;
pub mod cap;
pub mod share;
mod token_bucket;
mod window_counters;

pub use budgets::{Options, RetryBudgets, ServiceUsage};
