//! Retry budgets shared by all proxies: the share of demand, token buckets and a hard cap.
//!
//! For each service a proxy counts the requests that it takes from clients ("first"), the retries that it
//! sends ("allowed") and those that it does not send ("rejected"). Proxies exchange these counts; from the
//! totals each derives its [limit](share::limit), which fills a token bucket. A repeat needs a token and is
//! counted before it is sent.
//!
//! Totals may be stale, or missing where proxies are cut off, so the limits of all proxies may add up to more
//! than the target. Below them lies a [hard cap](cap) for each proxy alone. The caps of all proxies add up
//! to no more than the bound of the whole system, whatever each of them believes about the others.

mod budgets;
pub mod cap;
pub mod share;
mod token_bucket;
mod window_counters;

pub use budgets::{Options, RetryBudgets, ServiceUsage};
