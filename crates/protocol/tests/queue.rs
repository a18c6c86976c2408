//! The queue of a link: long messages are sent in chunks, and delay neither short messages nor those of other lanes.

use quickcheck::quickcheck;
use quillpulley_protocol::{
    compression_announcement, encode_value, Append, Body, EndpointState, Entry, FrameDecoder, FrameEncoder,
    FrameQueue, Install, Item, Lane, LeaseGrant, OutgoingMessage, Position, ProxyEndpoint, Revision, Server,
    ServerState, Update, UpdateKind, CHUNK_WINDOW_BYTES, MAX_CHUNK_BYTES,
};

const MAX_QUEUE_BYTES: usize = 8 * 1024 * 1024;

fn install(bytes: usize) -> Body {
    let snapshot = (0..bytes).map(|index| (index % 251) as u8).collect();
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
struct TestLink {
    queue: FrameQueue,
    encoder: FrameEncoder,
    decoder: FrameDecoder,
    /// The opposite direction, in which chunks are acknowledged.
    reverse_queue: FrameQueue,
    reverse_decoder: FrameDecoder,
    received: Vec<Body>,
}

impl TestLink {
    fn send(&mut self, body: &Body) {
        self.queue
            .push(&OutgoingMessage::new(Lane::of(body), self.encoder.message(body)), MAX_QUEUE_BYTES)
            .expect("the queue has room");
    }

    /// Transfers at most `max_bytes` bytes to the receiver. Returns how many were transferred.
    fn transfer(&mut self, max_bytes: usize) -> usize {
        let bytes = self.queue.pending();
        let count = bytes.len().min(max_bytes);
        self.decoder.push(&bytes[..count]);
        self.queue.advance(count);
        while let Some(body) = self.decoder.next_frame().expect("messages") {
            self.received.push(body);
        }
        count
    }

    fn acknowledge(&mut self) {
        let received_bytes = self.decoder.take_received();
        if received_bytes > 0 {
            self.reverse_queue.acknowledge_chunks(received_bytes);
        }
        let acknowledgements = self.reverse_queue.pending().to_vec();
        self.reverse_queue.advance(acknowledgements.len());
        self.reverse_decoder.push(&acknowledgements);
        assert!(self.reverse_decoder.next_frame().expect("no message").is_none());
        self.queue.receive_acknowledgement(self.reverse_decoder.take_acknowledged());
    }

    fn transfer_all(&mut self) {
        while self.transfer(10_000) > 0 {
            self.acknowledge();
        }
    }
}

#[test]
fn a_short_message_is_sent_between_the_chunks_of_a_long_one() {
    let mut link = TestLink::default();
    let long = install(9_000_000);
    link.send(&long);
    link.transfer(100_000);
    link.send(&grant(1));
    let mut between = 0;
    while link.received.is_empty() {
        between += link.transfer(1_000);
        link.acknowledge();
    }
    assert_eq!(link.received, [grant(1)]);
    assert!(between <= 2 * MAX_CHUNK_BYTES + 1_000, "{between} bytes were sent before the short message");
    link.transfer_all();
    assert_eq!(link.received, [grant(1), long]);
}

#[test]
fn no_more_chunks_are_sent_than_the_window_until_they_are_acknowledged() {
    let mut link = TestLink::default();
    link.send(&install(9_000_000));
    let mut sent = 0;
    loop {
        match link.transfer(50_000) {
            0 => break,
            count => sent += count,
        }
    }
    assert!((CHUNK_WINDOW_BYTES..CHUNK_WINDOW_BYTES + MAX_CHUNK_BYTES).contains(&sent), "{sent} bytes");
    link.send(&grant(2));
    link.transfer(1_000);
    assert_eq!(link.received, [grant(2)], "control messages are sent although the window is full");
    link.acknowledge();
    assert!(link.transfer(50_000) > 0);
}

#[test]
fn chunks_of_published_state_and_of_a_snapshot_alternate() {
    let mut link = TestLink::default();
    link.send(&install(9_000_000));
    link.transfer(100_000);
    link.send(&update(1, 200_000));
    link.send(&update(2, 10));
    let mut transferred = 0;
    while link.received.len() < 2 {
        transferred += link.transfer(10_000);
        link.acknowledge();
    }
    assert_eq!(link.received, [update(1, 200_000), update(2, 10)], "the messages arrive in order");
    assert!(transferred < 800_000, "{transferred}");
}

#[test]
fn a_state_message_replaces_a_queued_one_that_has_not_begun() {
    let mut link = TestLink::default();
    link.send(&install(5_000_000));
    link.transfer(100_000);
    for index in 1..100 {
        link.send(&append(index, 4_500_000));
        assert!(link.queue.bytes() < 9_700_000, "{}", link.queue.bytes());
    }
    link.transfer_all();
    assert_eq!(link.received, [install(5_000_000), append(99, 4_500_000)]);
}

#[test]
fn queued_state_messages_do_not_count_towards_the_queue_limit() {
    let mut link = TestLink::default();
    link.send(&install(9_000_000));
    link.send(&append(1, 9_000_000));
    for round in 0..1_000 {
        link.send(&grant(round));
    }
    let mut full_queue = FrameQueue::default();
    let long = vec![0; MAX_QUEUE_BYTES];
    full_queue
        .push(&OutgoingMessage::new(Lane::Ordered, &long), MAX_QUEUE_BYTES)
        .expect("a message may exceed the limit if the queue is empty");
    assert!(full_queue.push(&OutgoingMessage::new(Lane::Ordered, &[0; 100]), MAX_QUEUE_BYTES).is_err());
    assert!(full_queue.push(&OutgoingMessage::new(Lane::State, &long), MAX_QUEUE_BYTES).is_ok());
}

#[test]
fn an_incomplete_message_is_not_delivered() {
    let mut link = TestLink::default();
    link.send(&install(1_000_000));
    let mut left = 1_000_000;
    while left > 0 {
        left -= link.transfer(left.min(10_000));
        link.acknowledge();
        assert!(link.received.is_empty());
    }
    link.transfer_all();
    assert_eq!(link.received, [install(1_000_000)]);
}

#[test]
fn too_many_chunks_of_one_message_are_an_error() {
    let mut decoder = FrameDecoder::default();
    // A chunk (kind 1) on the lane `State` (number 2).
    let chunk =
        [&(MAX_CHUNK_BYTES as u32 | 2 << 26 | 1 << 28).to_le_bytes()[..], &vec![0; MAX_CHUNK_BYTES]].concat();
    let fails = (0..=512).any(|_| {
        decoder.push(&chunk);
        decoder.next_frame().is_err()
    });
    assert!(fails);
    let mut decoder = FrameDecoder::default();
    decoder.push(b"GET / HTTP/1.1\r\n");
    assert!(decoder.next_frame().is_err(), "a different protocol is rejected at once");
}

/// Returns a link whose receiver has announced that it can decompress messages.
fn link_with_compression() -> TestLink {
    let mut link = TestLink::default();
    link.queue.enable_compression();
    link
}

/// Returns a log entry with a compressible text: similar lines with random numbers.
fn compressible_entry(bytes: usize) -> Body {
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

fn transferred_bytes(link: &mut TestLink, body: &Body) -> usize {
    link.send(body);
    let mut bytes = 0;
    loop {
        let transferred = link.transfer(10_000);
        bytes += transferred;
        link.acknowledge();
        if transferred == 0 {
            return bytes;
        }
    }
}

#[test]
fn long_entries_are_compressed_if_the_peer_can_decompress_them() {
    let body = compressible_entry(4_500_000);
    let mut plain = TestLink::default();
    assert!(transferred_bytes(&mut plain, &body) > 4_500_000);
    let mut link = link_with_compression();
    let bytes = transferred_bytes(&mut link, &body);
    println!("{bytes} bytes");
    assert!(bytes < 2_000_000, "{bytes}");
    assert_eq!((&plain.received, &link.received), (&vec![body.clone()], &vec![body]));
}

#[test]
fn incompressible_messages_are_sent_uncompressed() {
    let mut random = fastrand::Rng::with_seed(1);
    let snapshot: Vec<u8> = (0..200_000).map(|_| random.u8(..)).collect();
    let snapshot_last = Position { epoch: 1, index: 1 };
    let message = Body::Install(Box::new(Install { epoch: 1, snapshot_last, snapshot, entries: Vec::new() }));
    let mut link = link_with_compression();
    let bytes = transferred_bytes(&mut link, &message);
    assert!((200_000..201_000).contains(&bytes), "{bytes}");
    assert_eq!(link.received, [message]);
}

/// Returns the response to the subscription of an agent without state, for a system of 326 servers and 295 proxies.
fn complete_state() -> Body {
    let mut random = fastrand::Rng::with_seed(11);
    let zones = ["north-a", "north-b", "south-a", "south-b", "west-a", "west-b"];
    let mut items = Vec::new();
    for number in 0..326u32 {
        let id = format!("i-{:010x}", random.u64(..1 << 40));
        let server = Server {
            id: id.clone(),
            service: "dispatch".into(),
            address: format!("10.6.{}.{}:8664", number / 200, random.u8(..)),
            zone: zones[random.usize(..zones.len())].into(),
            slots: 16,
            state: ServerState::Ready,
            warmup_remaining_ms: 0,
            time_remaining_ms: 0,
            has_time_remaining: false,
        };
        items.push(Item { key: format!("server/{id}"), removed: false, value: encode_value(&server) });
    }
    for number in 0..295u32 {
        let zone = zones[number as usize % zones.len()];
        let name = format!("front-{zone}-{number}");
        let endpoint = ProxyEndpoint {
            name: name.clone(),
            ip: 0x0a01_0000 + number,
            zone: zone.into(),
            region: zone[..5].into(),
            address: format!("10.1.{}.{}:8161", number / 200, number % 200),
            state: EndpointState::Ready,
            incarnation: 1_700_000_000_000_000 + random.u64(..60_000_000),
            preferred_regions: Vec::new(),
        };
        items.push(Item { key: format!("endpoint/{name}"), removed: false, value: encode_value(&endpoint) });
    }
    let revision = Revision { epoch: 3, tick: 100 };
    let update = Update {
        kind: UpdateKind::RangeRepair,
        base: Revision::default(),
        revision,
        digest: random.u64(..),
        complete: (0..64).collect(),
        items,
    };
    Body::Update(Box::new(update))
}

/// Guards against agents that wait for each other's complete states on a slow link.
#[test]
fn a_complete_state_takes_less_than_half_of_its_bytes_if_the_peer_can_decompress() {
    let state = complete_state();
    let mut plain = TestLink::default();
    let plain_bytes = transferred_bytes(&mut plain, &state);
    let mut link = link_with_compression();
    let bytes = transferred_bytes(&mut link, &state);
    println!("{plain_bytes} bytes, compressed {bytes}");
    assert!(bytes < plain_bytes / 2, "{bytes} of {plain_bytes}");
    assert_eq!((&plain.received, &link.received), (&vec![state.clone()], &vec![state]));
}

/// Returns the update that publishes a configuration of about this many bytes whose routes have all changed.
fn changed_configuration(tick: u64, bytes: usize) -> Body {
    let mut random = fastrand::Rng::with_seed(tick);
    let mut items = Vec::new();
    let mut length = 0;
    while length < bytes {
        let (host, path) = (random.u32(..), random.u32(..));
        let key = format!("route/{host:08x}.example/{path:08x}/");
        let value = format!(
            "{key} streaming timeout={} target={} service-{}:{} attempts=2 homes=north,south",
            random.u32(100..60_000),
            random.u32(100..2_000),
            random.u32(0..200),
            random.u32(1..100),
        );
        length += key.len() + value.len();
        items.push(Item { key, removed: false, value: value.into_bytes() });
    }
    let revision = Revision { epoch: 1, tick };
    Body::Update(Box::new(Update { revision, items, ..Update::default() }))
}

/// Guards against links that are closed because their queue is full of configurations of the largest size: the second
/// one within a few seconds did that on a slow link, and the next link of the child was filled again.
#[test]
fn configurations_of_the_largest_size_in_a_row_fit_into_the_queue_of_a_slow_link() {
    const LARGEST_BYTES: usize = 4_500_000;
    let mut link = link_with_compression();
    let updates: Vec<Body> = (1..=4).map(|tick| changed_configuration(tick, LARGEST_BYTES)).collect();
    updates.iter().for_each(|update| link.send(update));
    while link.transfer(100_000) > 0 {
        link.acknowledge();
    }
    assert_eq!(link.received, updates);
}

#[test]
fn long_published_items_are_compressed_and_short_updates_are_not() {
    let mut link = link_with_compression();
    assert!(transferred_bytes(&mut link, &update(1, 300_000)) < 30_000);
    let mut link = link_with_compression();
    assert!(transferred_bytes(&mut link, &update(1, 16_000)) > 16_000);
}

#[test]
fn the_compression_announcement_is_an_acknowledgement_of_0_bytes() {
    let mut decoder = FrameDecoder::default();
    assert!(!decoder.peer_decompresses());
    // Releases without compression read it as a frame of kind 3 with four bytes, and ignore the lane.
    assert_eq!(compression_announcement(), [&(4u32 | 2 << 26 | 3 << 28).to_le_bytes()[..], &[0; 4]].concat());
    decoder.push(&compression_announcement());
    assert_eq!(decoder.next_frame(), Ok(None));
    assert_eq!(decoder.take_acknowledged(), 0);
    assert!(decoder.peer_decompresses());
    let mut other = FrameDecoder::default();
    let mut queue = FrameQueue::default();
    queue.acknowledge_chunks(9);
    other.push(queue.pending());
    assert_eq!(other.next_frame(), Ok(None));
    assert!(!other.peer_decompresses(), "an ordinary acknowledgement does not announce decompression");
}

#[test]
fn an_invalid_compressed_message_is_an_error() {
    let compressed = |bytes: &[u8]| {
        // The last chunk of a compressed message (kind 4) on the lane `State` (number 2).
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
        let mut link = TestLink::default();
        let mut sent = Vec::new();
        let mut cuts = cuts.iter().cycle();
        for (index, (kind, size)) in sizes.iter().enumerate() {
            let (index, size) = (index as u64, usize::from(*size) * 3);
            let body = if kind % 2 == 0 { update(index, size) } else { grant(index) };
            link.send(&body);
            sent.push(body);
            link.transfer(usize::from(*cuts.next().unwrap_or(&9)));
            link.acknowledge();
        }
        link.transfer_all();
        let lane = |bodies: &[Body], lane| -> Vec<Body> {
            bodies.iter().filter(|body| Lane::of(body) == lane).cloned().collect()
        };
        lane(&sent, Lane::Ordered) == lane(&link.received, Lane::Ordered)
            && lane(&sent, Lane::Control) == lane(&link.received, Lane::Control)
    }

    fn compressed_and_uncompressed_messages_arrive_unchanged(sizes: Vec<(u8, u16)>, cuts: Vec<u16>) -> bool {
        let mut link = link_with_compression();
        let mut sent = Vec::new();
        let mut cuts = cuts.iter().cycle();
        for (index, (kind, size)) in sizes.iter().enumerate() {
            let (index, size) = (index as u64, usize::from(*size) * 3);
            let body = match kind % 4 {
                0 => append(index, size),
                1 => install(size),
                2 => grant(index),
                _ => update(index, size),
            };
            // A queued state message is replaced by the next one, so each one is transferred before the next is sent.
            link.send(&body);
            sent.push(body);
            link.transfer(usize::from(*cuts.next().unwrap_or(&9)));
            link.transfer_all();
        }
        link.received == sent
    }

    fn decoding_an_arbitrary_stream_never_panics(bytes: Vec<u8>) -> bool {
        let mut decoder = FrameDecoder::default();
        decoder.push(&bytes);
        while let Ok(Some(_)) = decoder.next_frame() {}
        true
    }
}
