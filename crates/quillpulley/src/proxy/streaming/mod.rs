//! Streamed responses: events are forwarded as they arrive, and a broken stream may be resumed at another
//! server.

pub mod event_boundary;
pub mod event_splitter;
pub mod event_stream;
