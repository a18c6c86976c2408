//! Sends a request until there is a response: the policy, the budgets, and the sends themselves.

pub mod budgets;
pub mod forwarding;
pub mod retry_state;
