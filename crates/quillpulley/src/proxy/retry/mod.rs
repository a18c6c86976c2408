//! Sends a request until a server has answered it: the policy, the budgets, and the sends themselves.

pub mod budgets;
pub mod forwarding;
pub mod retry_state;
