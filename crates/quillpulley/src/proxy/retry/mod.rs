//! Sends a request until there is a response: forwarding, the retry policy, and the retry budgets.

pub mod budgets;
pub mod forwarding;
pub mod retry_state;
