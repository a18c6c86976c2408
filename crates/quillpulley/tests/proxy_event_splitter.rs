//! Tests of `EventSplitter`, which splits a stream at the ends of events, and of `EventBoundary`, which tells whether
//! a stream ends there.

use bytes::Bytes;
use quickcheck::{quickcheck, Arbitrary, Gen};
use quillpulley::proxy::streaming::event_boundary::EventBoundary;
use quillpulley::proxy::streaming::event_splitter::{EventSplitter, Position};

/// A stream of up to seven events with increasing ids, and sorted byte offsets at which it is cut.
#[derive(Clone, Debug)]
struct CutStream {
    events: Vec<String>,
    offsets: Vec<usize>,
}

impl Arbitrary for CutStream {
    fn arbitrary(g: &mut Gen) -> Self {
        let line_end = if bool::arbitrary(g) { "\n" } else { "\r\n" };
        let count = u8::arbitrary(g) % 8;
        let event = |id| {
            let data = "x".repeat(id * 3);
            format!("event: token{line_end}id: {id}{line_end}data: {data}{line_end}{line_end}")
        };
        let events: Vec<String> = (1..=usize::from(count)).map(event).collect();
        let length: usize = events.iter().map(String::len).sum();
        let mut offsets: Vec<usize> =
            Vec::<usize>::arbitrary(g).into_iter().map(|at| at % (length + 1)).collect();
        offsets.sort_unstable();
        CutStream { events, offsets }
    }
}

impl CutStream {
    fn text(&self) -> String {
        self.events.concat()
    }

    /// Returns the stream, cut into pieces.
    fn pieces(&self) -> Vec<String> {
        let text = self.text();
        let ends = self.offsets.iter().copied().chain([text.len()]);
        let starts = [0].into_iter().chain(self.offsets.iter().copied());
        starts.zip(ends).map(|(start, end)| text[start..end].to_string()).collect()
    }
}

fn text(bytes: Option<Bytes>) -> String {
    bytes.map(|bytes| String::from_utf8(bytes.to_vec()).expect("text")).unwrap_or_default()
}

quickcheck! {
    /// Wherever the stream is cut, all of its bytes are forwarded, and only complete events before the end.
    fn chunks_give_complete_events(stream: CutStream) -> bool {
        let mut splitter = EventSplitter::new(None);
        let mut forwarded = String::new();
        for piece in stream.pieces() {
            forwarded += &text(splitter.push(piece.as_bytes()));
            let only_complete_events =
                (0..=stream.events.len()).any(|count| stream.events[..count].concat() == forwarded);
            if !only_complete_events {
                return false;
            }
        }
        forwarded += &text(splitter.finish());
        forwarded == stream.text()
    }

    /// Wherever the stream is cut, it ends with a complete event exactly if the splitter holds nothing back.
    fn the_boundary_agrees_with_the_splitter(stream: CutStream) -> bool {
        let mut splitter = EventSplitter::new(None);
        let mut boundary = EventBoundary::default();
        stream.pieces().iter().all(|piece| {
            splitter.push(piece.as_bytes());
            boundary = boundary.after(piece.as_bytes());
            (boundary == EventBoundary::BetweenEvents) == splitter.clone().finish().is_none()
        })
    }

    /// If the stream breaks anywhere and is resumed after the last complete event, each event is forwarded
    /// once.
    fn a_stream_resumes_after_the_last_complete_event(stream: CutStream) -> bool {
        stream.offsets.iter().all(|offset| {
            let mut splitter = EventSplitter::new(None);
            let mut forwarded = text(splitter.push(&stream.text().as_bytes()[..*offset]));
            if !splitter.restart() {
                return false;
            }
            let forwarded_count = match splitter.position() {
                Position::Start => 0,
                Position::After(id) => text(Some(id.clone())).parse().expect("a number"),
                Position::WithoutId => return false,
            };
            forwarded += &text(splitter.push(stream.events[forwarded_count..].concat().as_bytes()));
            forwarded == stream.text()
        })
    }
}

#[test]
fn events_that_were_forwarded_before_are_skipped() {
    let mut splitter = EventSplitter::new(Some(Bytes::from_static(b"7")));
    let forwarded = splitter.push(b"id: 6\ndata: a\n\nid: 7\ndata: b\n\nid: 8\ndata: c\n\n");
    assert_eq!(text(forwarded), "id: 8\ndata: c\n\n");
}

#[test]
fn a_stream_without_ids_cannot_be_resumed() {
    let mut splitter = EventSplitter::new(None);
    assert_eq!(text(splitter.push(b"data: a\n\n")), "data: a\n\n");
    assert!(!splitter.restart());
}

#[test]
fn comments_need_no_id() {
    let mut splitter = EventSplitter::new(None);
    assert_eq!(
        text(splitter.push(b": still here\n\nid: 1\ndata: a\n\n")),
        ": still here\n\nid: 1\ndata: a\n\n"
    );
    assert!(splitter.restart());
    assert_eq!(*splitter.position(), Position::After(Bytes::from_static(b"1")));
}

#[test]
fn an_event_above_the_maximum_size_is_forwarded() {
    let mut splitter = EventSplitter::new(None);
    let piece = "x".repeat(40_000);
    assert_eq!(splitter.push(piece.as_bytes()), None);
    assert_eq!(text(splitter.push(piece.as_bytes())).len(), 80_000);
    assert!(!splitter.restart());
}
