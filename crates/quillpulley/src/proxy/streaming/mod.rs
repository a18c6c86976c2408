//! Streamed responses: events are passed on as they come, and a stream may be resumed at another server.

pub mod event_splitter;
pub mod event_stream;
