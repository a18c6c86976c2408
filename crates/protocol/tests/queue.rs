//! The queue of a link: long messages are sent in chunks, and delay neither short messages nor those of other lanes.

use quickcheck::quickcheck;
use quillpulley_protocol::{
    compression_announcement, Append, Body, Entry, FrameDecoder, FrameEncoder, FrameQueue, Install, Lane,
    LeaseGrant, Position, Update, CHUNK_WINDOW_BYTES, MAX_CHUNK_BYTES,
};

const MAXIMUM: usize = 8 * 1024 * 1024;

fn install(bytes: usize) -> Body {
    let snapshot = (0..bytes).map(|place| (place % 251) as u8).collect();
    let snapshot_last = Position { epoch: 1, index: bytes as u64 };
    Body::Install(Box::new(Install { epoch: 1, snapshot_last, snapshot, entries: Vec::new() }))
}

fn append(index: u64, bytes: usize) -> Body {
    let entries = vec![Entry { epoch: 1, index, payload: vec![7; bytes] }];
    Body::Append(Box::new(Append { epoch: 1, previous: Position { epoch: 1, index }, entries, committed: 0 }))
}

fn grant(round: u64) -> Body {
    Body::LeaseGrant(Box::new(LeaseGrant { round, ..LeaseGrant::default() }))
}

fn update(tick: u64, bytes: usize) -> Body {
    let items = vec![quillpulley_protocol::Item { key: "k".into(), removed: false, value: vec![1; bytes] }];
    let revision = quillpulley_protocol::Revision { epoch: 1, tick };
    Body::Update(Box::new(Update { revision, items, ..Update::default() }))
}

/// The sender's queue and the receiver's decoder of a link, without a network between them.
#[derive(Default)]
struct Ends {
    queue: FrameQueue,
    encoder: FrameEncoder,
    decoder: FrameDecoder,
    /// The opposite direction, in which chunks are acknowledged.
    back: FrameQueue,
    back_decoder: FrameDecoder,
    came: Vec<Body>,
}

impl Ends {
    fn send(&mut self, body: &Body) {
        self.queue.push(Lane::of(body), self.encoder.message(body), MAXIMUM).expect("room");
    }

    /// Transfers at most `most` bytes to the receiver. Returns how many were transferred.
    fn pass(&mut self, most: usize) -> usize {
        let bytes = self.queue.pending();
        let count = bytes.len().min(most);
        self.decoder.push(&bytes[..count]);
        self.queue.advance(count);
        while let Some(body) = self.decoder.next_frame().expect("messages") {
            self.came.push(body);
        }
        count
    }

    fn acknowledge_back(&mut self) {
        let arrived = self.decoder.take_received();
        if arrived > 0 {
            self.back.acknowledge_chunks(arrived);
        }
        let told = self.back.pending().to_vec();
        self.back.advance(told.len());
        self.back_decoder.push(&told);
        assert!(self.back_decoder.next_frame().expect("no message").is_none());
        self.queue.receive_credit(self.back_decoder.take_credited());
    }

    fn pass_all(&mut self) {
        while self.pass(10_000) > 0 {
            self.acknowledge_back();
        }
    }
}

#[test]
fn a_short_message_passes_between_the_pieces_of_a_long_one() {
    let mut ends = Ends::default();
    let long = install(9_000_000);
    ends.send(&long);
    ends.pass(100_000);
    ends.send(&grant(1));
    let mut between = 0;
    while ends.came.is_empty() {
        between += ends.pass(1_000);
        ends.acknowledge_back();
    }
    assert_eq!(ends.came, [grant(1)]);
    assert!(between <= 2 * MAX_CHUNK_BYTES + 1_000, "{between} bytes were sent before the short message");
    ends.pass_all();
    assert_eq!(ends.came, [grant(1), long]);
}

#[test]
fn no_more_chunks_are_sent_than_the_window_until_they_are_acknowledged() {
    let mut ends = Ends::default();
    ends.send(&install(9_000_000));
    let mut sent = 0;
    loop {
        match ends.pass(50_000) {
            0 => break,
            count => sent += count,
        }
    }
    assert!((CHUNK_WINDOW_BYTES..CHUNK_WINDOW_BYTES + MAX_CHUNK_BYTES).contains(&sent), "{sent} bytes");
    ends.send(&grant(2));
    ends.pass(1_000);
    assert_eq!(ends.came, [grant(2)], "control messages are sent although the window is full");
    ends.acknowledge_back();
    assert!(ends.pass(50_000) > 0);
}

#[test]
fn published_state_and_a_long_installation_take_turns() {
    let mut ends = Ends::default();
    ends.send(&install(9_000_000));
    ends.pass(100_000);
    ends.send(&update(1, 200_000));
    ends.send(&update(2, 10));
    let mut passed = 0;
    while ends.came.len() < 2 {
        passed += ends.pass(10_000);
        ends.acknowledge_back();
    }
    assert_eq!(ends.came, [update(1, 200_000), update(2, 10)], "the messages arrive in order");
    assert!(passed < 800_000, "{passed}");
}

#[test]
fn a_message_with_state_replaces_one_that_was_not_begun() {
    let mut ends = Ends::default();
    ends.send(&install(5_000_000));
    ends.pass(100_000);
    for index in 1..100 {
        ends.send(&append(index, 4_500_000));
        assert!(ends.queue.bytes() < 9_700_000, "{}", ends.queue.bytes());
    }
    ends.pass_all();
    assert_eq!(ends.came, [install(5_000_000), append(99, 4_500_000)]);
}

#[test]
fn state_that_waits_does_not_count_for_the_bound_of_other_messages() {
    let mut ends = Ends::default();
    ends.send(&install(9_000_000));
    ends.send(&append(1, 9_000_000));
    for round in 0..1_000 {
        ends.send(&grant(round));
    }
    let mut refused = FrameQueue::default();
    let long = vec![0; MAXIMUM];
    refused
        .push(Lane::Ordered, &long, MAXIMUM)
        .expect("a message may exceed the limit if the queue is empty");
    assert!(refused.push(Lane::Ordered, &[0; 100], MAXIMUM).is_err());
    assert!(refused.push(Lane::State, &long, MAXIMUM).is_ok());
}

#[test]
fn half_a_message_is_no_message() {
    let mut ends = Ends::default();
    ends.send(&install(1_000_000));
    let mut left = 1_000_000;
    while left > 0 {
        left -= ends.pass(left.min(10_000));
        ends.acknowledge_back();
        assert!(ends.came.is_empty());
    }
    ends.pass_all();
    assert_eq!(ends.came, [install(1_000_000)]);
}

#[test]
fn pieces_that_never_end_are_an_error() {
    let mut decoder = FrameDecoder::default();
    let piece =
        [&(MAX_CHUNK_BYTES as u32 | 2 << 26 | 1 << 28).to_le_bytes()[..], &vec![0; MAX_CHUNK_BYTES]].concat();
    let fails = (0..=512).any(|_| {
        decoder.push(&piece);
        decoder.next_frame().is_err()
    });
    assert!(fails);
    let mut decoder = FrameDecoder::default();
    decoder.push(b"GET / HTTP/1.1\r\n");
    assert!(decoder.next_frame().is_err(), "a different protocol is rejected at once");
}

/// Returns a link whose receiver has announced that it can decompress messages.
fn compressing() -> Ends {
    let mut ends = Ends::default();
    ends.queue.enable_compression();
    ends
}

/// Returns a log entry with a compressible text: similar lines with random numbers.
fn text(bytes: usize) -> Body {
    let mut random = fastrand::Rng::with_seed(7);
    let mut payload = Vec::new();
    while payload.len() < bytes {
        let (name, service, timeout) = (random.u32(..), random.u32(0..200), random.u32(100..60_000));
        let line = format!(
            "{{\"Name\":\"route-{name:08x}\",\"Service\":\"service-{service}\",\"TimeoutMs\":{timeout}}},"
        );
        payload.extend_from_slice(line.as_bytes());
    }
    let entries = vec![Entry { epoch: 1, index: 1, payload }];
    Body::Append(Box::new(Append { epoch: 1, previous: Position::default(), entries, committed: 0 }))
}

fn bytes_on_the_wire(ends: &mut Ends, body: &Body) -> usize {
    ends.send(body);
    let mut bytes = 0;
    loop {
        let passed = ends.pass(10_000);
        bytes += passed;
        ends.acknowledge_back();
        if passed == 0 {
            return bytes;
        }
    }
}

#[test]
fn long_entries_are_compressed_once_the_peer_has_announced_that_it_can_read_them() {
    let body = text(4_500_000);
    let mut plain = Ends::default();
    assert!(bytes_on_the_wire(&mut plain, &body) > 4_500_000);
    let mut ends = compressing();
    let bytes = bytes_on_the_wire(&mut ends, &body);
    println!("{bytes} bytes");
    assert!(bytes < 2_000_000, "{bytes}");
    assert_eq!((&plain.came, &ends.came), (&vec![body.clone()], &vec![body]));
}

#[test]
fn what_does_not_get_shorter_is_sent_as_it_is() {
    let mut random = fastrand::Rng::with_seed(1);
    let snapshot: Vec<u8> = (0..200_000).map(|_| random.u8(..)).collect();
    let snapshot_last = Position { epoch: 1, index: 1 };
    let noise = Body::Install(Box::new(Install { epoch: 1, snapshot_last, snapshot, entries: Vec::new() }));
    let mut ends = compressing();
    let bytes = bytes_on_the_wire(&mut ends, &noise);
    assert!((200_000..201_000).contains(&bytes), "{bytes}");
    assert_eq!(ends.came, [noise]);
}

#[test]
fn published_state_is_not_compressed() {
    let mut ends = compressing();
    assert!(bytes_on_the_wire(&mut ends, &update(1, 300_000)) > 300_000);
}

#[test]
fn the_announcement_is_an_acknowledgement_of_nothing() {
    let mut decoder = FrameDecoder::default();
    assert!(!decoder.peer_decompresses());
    // Releases without compression read it as a frame of kind 3 with four bytes, and ignore the lane.
    assert_eq!(compression_announcement(), [&(4u32 | 2 << 26 | 3 << 28).to_le_bytes()[..], &[0; 4]].concat());
    decoder.push(&compression_announcement());
    assert_eq!(decoder.next_frame(), Ok(None));
    assert_eq!(decoder.take_credited(), 0);
    assert!(decoder.peer_decompresses());
    let mut other = FrameDecoder::default();
    let mut queue = FrameQueue::default();
    queue.acknowledge_chunks(9);
    other.push(queue.pending());
    assert_eq!(other.next_frame(), Ok(None));
    assert!(!other.peer_decompresses(), "an ordinary acknowledgement does not announce decompression");
}

#[test]
fn a_compressed_message_that_is_none_is_an_error() {
    let compressed = |bytes: &[u8]| {
        let prefix = bytes.len() as u32 | 2 << 26 | 4 << 28;
        let mut decoder = FrameDecoder::default();
        decoder.push(&[&prefix.to_le_bytes()[..], bytes].concat());
        decoder.next_frame()
    };
    assert!(compressed(&[]).is_err());
    assert!(compressed(&[1, 0]).is_err());
    assert!(compressed(&[100, 0, 0, 0, 1, 2, 3]).is_err());
    // The message claims to decompress to four gigabytes. It must be rejected before memory is allocated.
    assert!(compressed(&[255, 255, 255, 255, 1, 2, 3]).is_err());
}

quickcheck! {
    fn each_lane_keeps_its_order(sizes: Vec<(u8, u16)>, cuts: Vec<u16>) -> bool {
        let mut ends = Ends::default();
        let mut sent = Vec::new();
        let mut cuts = cuts.iter().cycle();
        for (place, (kind, size)) in sizes.iter().enumerate() {
            let (place, size) = (place as u64, usize::from(*size) * 3);
            let body = if kind % 2 == 0 { update(place, size) } else { grant(place) };
            ends.send(&body);
            sent.push(body);
            ends.pass(usize::from(*cuts.next().unwrap_or(&9)));
            ends.acknowledge_back();
        }
        ends.pass_all();
        let lane = |bodies: &[Body], lane| -> Vec<Body> {
            bodies.iter().filter(|body| Lane::of(body) == lane).cloned().collect()
        };
        lane(&sent, Lane::Ordered) == lane(&ends.came, Lane::Ordered)
            && lane(&sent, Lane::Control) == lane(&ends.came, Lane::Control)
    }

    fn compressed_and_plain_messages_come_as_they_were_sent(sizes: Vec<(u8, u16)>, cuts: Vec<u16>) -> bool {
        let mut ends = compressing();
        let mut sent = Vec::new();
        let mut cuts = cuts.iter().cycle();
        for (place, (kind, size)) in sizes.iter().enumerate() {
            let (place, size) = (place as u64, usize::from(*size) * 3);
            let body = match kind % 4 {
                0 => append(place, size),
                1 => install(size),
                2 => grant(place),
                _ => update(place, size),
            };
            // A queued state message is replaced by the next one, so each one is transferred before the next is sent.
            ends.send(&body);
            sent.push(body);
            ends.pass(usize::from(*cuts.next().unwrap_or(&9)));
            ends.pass_all();
        }
        ends.came == sent
    }

    fn no_stream_makes_the_decoder_panic(bytes: Vec<u8>) -> bool {
        let mut decoder = FrameDecoder::default();
        decoder.push(&bytes);
        while let Ok(Some(_)) = decoder.next_frame() {}
        true
    }
}
