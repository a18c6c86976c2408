//! Streamed responses: events are forwarded as they come, and a stream may be resumed at another server.

pub mod event_splitter;
pub mod event_stream;
