//! Cuts a stream of events (`text/event-stream`) at the ends of events, so that only whole ones are passed on.

use bytes::{Bytes, BytesMut};

/// The most bytes of one event; a longer one is passed on in pieces, and such a stream cannot be taken up elsewhere.
const MAX_EVENT: usize = 64 * 1024;

/// How far a stream has been passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Position {
    /// No event yet.
    Start,
    /// Up to the event with this id.
    After(Bytes),
    /// To a place that no id names: it cannot be taken up from there.
    Unnamed,
}

/// The events of a stream, which may come in several runs.
#[derive(Debug)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Up to here the buffer holds no end of an event.
    searched: usize,
    position: Position,
}

impl EventSplitter {
    /// At the start of an answer to a request that takes a stream up behind the event with an id, if it names one.
    pub fn new(last_event_id: Option<Bytes>) -> Self {
        let position = last_event_id.map_or(Position::Start, Position::After);
        EventSplitter { buffer: BytesMut::new(), searched: 0, position }
    }

    /// Returns how far whole events have been taken out.
    pub fn position(&self) -> &Position {
        &self.position
    }

    /// Takes bytes as they came, and gives the events that are whole now, if any.
    pub fn push(&mut self, data: &[u8]) -> Option<Bytes> {
        self.buffer.extend_from_slice(data);
        let mut events = BytesMut::new();
        while let Some(end) = self.next_end() {
            let event = self.buffer.split_to(end);
            self.searched = 0;
            if self.advance(&event) {
                join(&mut events, event);
            }
        }
        if events.is_empty() && self.buffer.len() > MAX_EVENT {
            self.position = Position::Unnamed;
            self.searched = 0;
            events = self.buffer.split();
        }
        (!events.is_empty()).then(|| events.freeze())
    }

    /// Returns what is left at the end of the stream.
    pub fn finish(&mut self) -> Option<Bytes> {
        let rest = self.buffer.split();
        (!rest.is_empty()).then(|| rest.freeze())
    }

    /// Returns the run broke off: forgets the event that is not whole. False if no other run can go on from here.
    pub fn restart(&mut self) -> bool {
        self.buffer.clear();
        self.searched = 0;
        self.position != Position::Unnamed
    }

    /// Returns where the next event ends: behind a blank line.
    fn next_end(&mut self) -> Option<usize> {
        let from = self.searched;
        let line_ends = memchr_all(&self.buffer, from);
        for at in line_ends {
            match self.buffer.get(at + 1..) {
                Some([b'\n', ..]) => return Some(at + 2),
                Some([b'\r', b'\n', ..]) => return Some(at + 3),
                _ => {}
            }
        }
        // A blank line may have come in part.
        self.searched = self.buffer.len().saturating_sub(2);
        None
    }

    /// Notes the id of a whole event. False if it has been passed on before.
    fn advance(&mut self, event: &[u8]) -> bool {
        let Some(id) = event_id(event) else {
            let says_something = event.iter().any(|byte| !matches!(byte, b'\r' | b'\n'));
            if says_something && !event.starts_with(b":") {
                self.position = Position::Unnamed;
            }
            return true;
        };
        if let Position::After(last) = &self.position {
            if number(last).zip(number(id)).is_some_and(|(last, new)| new <= last) {
                return false;
            }
        }
        if self.position != Position::Unnamed {
            self.position = Position::After(Bytes::copy_from_slice(id));
        }
        true
    }
}

/// Appends, without a copy where there is nothing before.
fn join(events: &mut BytesMut, event: BytesMut) {
    if events.is_empty() {
        *events = event;
    } else {
        events.unsplit(event);
    }
}

/// Returns the places of line feeds from a place on.
fn memchr_all(buffer: &[u8], from: usize) -> impl Iterator<Item = usize> + '_ {
    (from..buffer.len()).filter(|at| buffer[*at] == b'\n')
}

/// Returns the value of the last `id` field.
fn event_id(event: &[u8]) -> Option<&[u8]> {
    let lines = event.split(|byte| *byte == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.next_back().map(|id| id.strip_prefix(b" ").unwrap_or(id)).filter(|id| !id.is_empty())
}

fn number(id: &[u8]) -> Option<u64> {
    std::str::from_utf8(id).ok()?.parse().ok()
}
