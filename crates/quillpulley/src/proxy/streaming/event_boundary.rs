//! Tracks whether a stream of server-sent events ends with a complete event: a pure state machine.

/// Where a stream stands after the bytes that were received so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EventBoundary {
    /// At the start of the stream, or after the blank line that ends an event.
    #[default]
    BetweenEvents,
    /// Within a line of an event.
    InLine,
    /// After a line of an event, which continues unless a blank line follows.
    AfterLine,
}

impl EventBoundary {
    /// Returns the position after more bytes. Every change of the position happens here.
    #[must_use]
    pub fn after(self, data: &[u8]) -> EventBoundary {
        data.iter().fold(self, |position, byte| match (position, byte) {
            // A carriage return belongs to the end of a line.
            (_, b'\r') => position,
            (EventBoundary::InLine, b'\n') => EventBoundary::AfterLine,
            (EventBoundary::BetweenEvents | EventBoundary::AfterLine, b'\n') => EventBoundary::BetweenEvents,
            _ => EventBoundary::InLine,
        })
    }
}
