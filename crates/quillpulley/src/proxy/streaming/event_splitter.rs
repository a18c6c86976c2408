//! Splits a stream of server-sent events (`text/event-stream`), so that only complete events are forwarded.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, in bytes. A longer event is forwarded in parts, after which its stream cannot be
/// resumed.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// How much of a stream has been forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Position {
    /// No event has been forwarded.
    Start,
    /// The id of the last event that was forwarded.
    After(Bytes),
    /// An event without an id, or a part of an event, was forwarded: the stream cannot be resumed.
    WithoutId,
}

/// Splits one stream, which may be sent by several servers in turn, into events.
#[derive(Clone, Debug)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// The number of bytes at the start of the buffer that are known to contain no end of an event.
    searched: usize,
    position: Position,
}

impl EventSplitter {
    /// Creates a splitter. `last_event_id` is the `Last-Event-Id` of the request: the stream starts after
    /// that event.
    pub fn new(last_event_id: Option<Bytes>) -> Self {
        let position = last_event_id.map_or(Position::Start, Position::After);
        EventSplitter { buffer: BytesMut::new(), searched: 0, position }
    }

    /// Returns how much of the stream has been forwarded.
    pub fn position(&self) -> &Position {
        &self.position
    }

    /// Adds received bytes, and returns the events that are now complete. `None` if there is none.
    pub fn push(&mut self, data: &[u8]) -> Option<Bytes> {
        self.buffer.extend_from_slice(data);
        let mut events = BytesMut::new();
        while let Some(end) = self.next_event_end() {
            let event = self.buffer.split_to(end);
            self.searched = 0;
            if self.record_event(&event) {
                append_event(&mut events, event);
            }
        }
        if events.is_empty() && self.buffer.len() > MAX_EVENT_BYTES {
            self.position = Position::WithoutId;
            self.searched = 0;
            events = self.buffer.split();
        }
        (!events.is_empty()).then(|| events.freeze())
    }

    /// Returns the bytes that are left when the server has ended the stream. `None` if there are none.
    pub fn finish(&mut self) -> Option<Bytes> {
        let rest = self.buffer.split();
        (!rest.is_empty()).then(|| rest.freeze())
    }

    /// Discards an incomplete event after the connection broke. Returns false if the stream cannot be
    /// resumed.
    pub fn restart(&mut self) -> bool {
        self.buffer.clear();
        self.searched = 0;
        self.position != Position::WithoutId
    }

    /// Returns the end of the next event, which is the end of a blank line.
    fn next_event_end(&mut self) -> Option<usize> {
        let from = self.searched;
        let line_ends = line_feeds(&self.buffer, from);
        for at in line_ends {
            match self.buffer.get(at + 1..) {
                Some([b'\n', ..]) => return Some(at + 2),
                Some([b'\r', b'\n', ..]) => return Some(at + 3),
                _ => {}
            }
        }
        // The buffer may end within a blank line, whose last two bytes are searched again.
        self.searched = self.buffer.len().saturating_sub(2);
        None
    }

    /// Records the id of a complete event. Returns false if the event was forwarded before, according to its
    /// numeric id.
    fn record_event(&mut self, event: &[u8]) -> bool {
        let Some(id) = event_id(event) else {
            let has_content = event.iter().any(|byte| !matches!(byte, b'\r' | b'\n'));
            if has_content && !event.starts_with(b":") {
                self.position = Position::WithoutId;
            }
            return true;
        };
        if let Position::After(last) = &self.position {
            if parse_number(last).zip(parse_number(id)).is_some_and(|(last, new)| new <= last) {
                return false;
            }
        }
        if self.position != Position::WithoutId {
            self.position = Position::After(Bytes::copy_from_slice(id));
        }
        true
    }
}

/// Appends an event, without copying it if it is the first.
fn append_event(events: &mut BytesMut, event: BytesMut) {
    if events.is_empty() {
        *events = event;
    } else {
        events.unsplit(event);
    }
}

/// Returns the positions of line feeds at or after `from`.
fn line_feeds(buffer: &[u8], from: usize) -> impl Iterator<Item = usize> + '_ {
    (from..buffer.len()).filter(|at| buffer[*at] == b'\n')
}

/// Returns the value of the last `id` field of an event. `None` if there is none, or it is empty.
fn event_id(event: &[u8]) -> Option<&[u8]> {
    let lines = event.split(|byte| *byte == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.next_back().map(|id| id.strip_prefix(b" ").unwrap_or(id)).filter(|id| !id.is_empty())
}

fn parse_number(id: &[u8]) -> Option<u64> {
    std::str::from_utf8(id).ok()?.parse().ok()
}
