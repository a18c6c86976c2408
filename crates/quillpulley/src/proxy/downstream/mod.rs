//! The client side: reads and checks requests, has them forwarded, and writes responses.

pub mod client_service;
pub mod home_demand;
pub mod local_response;
pub mod open_requests;
pub mod readiness;
pub mod request;
pub mod response;
