//! The headers of requests to servers and of their responses.

use hyper::header::HeaderName;

pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
pub const TIME_REMAINING: HeaderName = HeaderName::from_static("x-time-left");
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-unprocessed");
pub const ACTUAL_UNITS: HeaderName = HeaderName::from_static("x-settled");
pub const SERVER_LOAD: HeaderName = HeaderName::from_static("x-backend-load");
