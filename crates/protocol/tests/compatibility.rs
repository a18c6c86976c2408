//! Compatibility with earlier releases: the encoding of every message and stored value must not change.
//!
//! `fixtures/messages.hex` and `fixtures/values.hex` were written by the program at commit 0b0971f. Each line contains a
//! name and the encoded bytes in hexadecimal. Names in the schema may change, but these bytes may not.

use quillpulley_protocol::*;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

const MESSAGES: &str = include_str!("fixtures/messages.hex");
const VALUES: &str = include_str!("fixtures/values.hex");

fn node(number: u8) -> NodeId {
    NodeId::new(Ipv4Addr::new(10, 1, 0, number), 0x0102_0304_0506_0700 + u64::from(number))
}

fn position(index: u64) -> Position {
    Position { epoch: 7, index }
}

fn revision(tick: u64) -> Revision {
    Revision { epoch: 7, tick }
}

fn view() -> Box<View> {
    Box::new(View {
        epoch: 7,
        primary: node(1),
        backups: vec![node(2), node(3)],
        witnesses: vec![node(1), node(2), node(3)],
        previous_witnesses: vec![node(1), node(2), node(4)],
        activated: true,
    })
}

fn entries() -> Vec<Entry> {
    let entry = |index| Entry { epoch: 7, index, payload: format!("payload {index}").into_bytes() };
    (41..=43).map(entry).collect()
}

fn endpoint() -> ProxyEndpoint {
    ProxyEndpoint {
        name: "front-1".to_string(),
        ip: 0x0a01_000d,
        zone: "zone-a".to_string(),
        region: "region-a".to_string(),
        address: "10.1.0.13:8161".to_string(),
        state: EndpointState::Ready,
        incarnation: 1_700_000_000_000_000,
        preferred_regions: vec!["region-b".to_string()],
    }
}

fn services() -> Vec<ServiceCounters> {
    vec![ServiceCounters { service: "cards".to_string(), requests: 90, retries: 8, rejected_retries: 3 }]
}

fn server_loads() -> Vec<ServerLoad> {
    vec![ServerLoad { server: 0xfeed_beef, running: 5, waiting: 2, prompt_tokens: 1_900, failures: 1 }]
}

/// Returns one message of each kind.
fn messages() -> Vec<(&'static str, Body)> {
    let hello = Hello {
        kind: PeerKind::Agent,
        node: node(5),
        name: "front-1".to_string(),
        zone: "zone-a".to_string(),
        region: "region-a".to_string(),
        control_address: "10.1.0.5:8166".to_string(),
    };
    let promise = Promise {
        epoch: 8,
        granted: true,
        promised: 8,
        accepted: Some(view()),
        last: position(43),
        lease_remaining_ms: 350,
        pre_vote: true,
    };
    let transfer = StateTransfer {
        epoch: 8,
        last: position(43),
        snapshot_last: position(40),
        snapshot: b"a snapshot".to_vec(),
        entries: entries(),
    };
    let install =
        Install { epoch: 8, snapshot_last: position(40), snapshot: b"state".to_vec(), entries: entries() };
    let request = LeaseRequest { epoch: 7, round: 9, view: view(), committed: 42, holds_lease: true };
    let grant = LeaseGrant {
        epoch: 7,
        round: 9,
        granted: true,
        promised: 7,
        last: position(43),
        member: true,
        witness: true,
    };
    let update = Update {
        kind: UpdateKind::Delta,
        base: revision(3),
        revision: revision(4),
        digest: 0xabcd_ef01_2345,
        complete: vec![0, 63],
        items: vec![
            Item { key: "route/cards".to_string(), removed: false, value: vec![1, 2, 3] },
            Item { key: "server/i-1".to_string(), removed: true, value: Vec::new() },
        ],
    };
    let suspicion = Suspicion {
        suspect: "front-9".to_string(),
        monitors: vec!["front-1".to_string(), "front-2".to_string()],
    };
    let report = Report {
        delta: true,
        depth: 3,
        endpoints: vec![endpoint()],
        removed_endpoints: vec!["front-8".to_string()],
        suspicions: vec![suspicion],
        proxies: 17,
        services: services(),
        servers: server_loads(),
    };
    let totals = Totals {
        complete: true,
        delta: true,
        hops: 2,
        origin: 0x1234_5678_9abc,
        proxies: 70,
        services: services(),
        servers: server_loads(),
    };
    vec![
        ("Hello", Body::Hello(Box::new(hello))),
        ("Cores", Body::ControlNodes(Box::new(ControlNodes { addresses: vec![0x0a01_0001, 0x0a01_0002] }))),
        ("Prepare", Body::Prepare(Box::new(Prepare { epoch: 8, candidate: node(2), pre_vote: true }))),
        ("Promise", Body::Promise(Box::new(promise))),
        ("FetchState", Body::FetchState(Box::new(FetchState { epoch: 8 }))),
        ("StateTransfer", Body::StateTransfer(Box::new(transfer))),
        ("Install", Body::Install(Box::new(install))),
        ("Installed", Body::Installed(Box::new(Installed { epoch: 8, last: position(43), ok: true }))),
        ("Accept", Body::Accept(Box::new(Accept { view: view() }))),
        (
            "Accepted",
            Body::Accepted(Box::new(Accepted { epoch: 7, granted: true, promised: 7, activated: true })),
        ),
        (
            "Append",
            Body::Append(Box::new(Append {
                epoch: 7,
                previous: position(40),
                entries: entries(),
                committed: 39,
            })),
        ),
        ("AppendAck", Body::AppendAck(Box::new(AppendAck { epoch: 7, last: position(43), matched: true }))),
        ("LeaseRequest", Body::LeaseRequest(Box::new(request))),
        ("LeaseGrant", Body::LeaseGrant(Box::new(grant))),
        (
            "Subscribe",
            Body::Subscribe(Box::new(Subscribe { revision: revision(3), digests: vec![1, u64::MAX] })),
        ),
        ("Update", Body::Update(Box::new(update))),
        ("Report", Body::Report(Box::new(report))),
        ("Totals", Body::Totals(Box::new(totals))),
        ("Ping", Body::Ping(Box::new(Ping { name: "front-1".to_string(), sequence: 7_000 }))),
        ("PingAck", Body::PingAck(Box::new(PingAck { name: "front-2".to_string(), sequence: 7_000 }))),
        ("Decline", Body::Reject(Box::new(Reject { epoch: 7, promised: 8, shutting_down: true }))),
        ("Resign", Body::Resign(Box::new(Resign { epoch: 7 }))),
    ]
}

/// Returns one encoded value of each kind that is published or stored as a stand-alone flatbuffer.
fn values() -> Vec<(&'static str, Vec<u8>)> {
    let server = Server {
        id: "i-7f3a91c2".to_string(),
        service: "cards".to_string(),
        address: "10.128.0.9:8080".to_string(),
        zone: "zone-a".to_string(),
        slots: 64,
        state: ServerState::Draining,
        warmup_remaining_ms: 900,
        time_remaining_ms: 30_000,
        has_time_remaining: true,
    };
    let control_node =
        ControlNode { ip: 0x0a01_0001, zone: "zone-a".to_string(), region: "region-a".to_string() };
    let head = ConfigHead { version: 12, routes: 3, services: b"[]".to_vec(), limits: b"{}".to_vec() };
    let replace = ReplaceConfig {
        version: 12,
        base: 11,
        content_hash: 0xc0ff_ee00,
        body: b"{\"Version\":12}".to_vec(),
    };
    let evacuation = Evacuation { zone: "zone-a".to_string(), active: true };
    let snapshot = ControlSnapshot {
        version: 12,
        body: b"{\"Version\":12}".to_vec(),
        history: vec![
            AppliedConfig { version: 11, base: 10, content_hash: 0xabcd },
            AppliedConfig { version: 12, base: 11, content_hash: 0xc0ff_ee00 },
        ],
        zones: vec![EvacuatedZone { zone: "zone-a".to_string(), active: true, index: 40 }],
        config_index: 39,
    };
    let record = WitnessRecord {
        incarnation: 0x0102_0304_0506_0701,
        promised: 8,
        promised_to: node(2),
        accepted: Some(view()),
    };
    vec![
        ("Server", encode_value(&server)),
        ("Front", encode_value(endpoint())),
        ("Core", encode_value(&control_node)),
        ("ConfigHead", encode_value(&head)),
        (
            "OrderReplaceConfig",
            encode_value(&LogCommand { body: Some(LogCommandBody::ReplaceConfig(Box::new(replace))) }),
        ),
        (
            "OrderEvacuation",
            encode_value(&LogCommand { body: Some(LogCommandBody::Evacuation(Box::new(evacuation))) }),
        ),
        ("ControlSnapshot", encode_value(&snapshot)),
        ("WitnessRecord", encode_value(&record)),
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digits: Vec<char> = text.chars().collect();
    let byte =
        |pair: &[char]| u8::from_str_radix(&pair.iter().collect::<String>(), 16).expect("two hex digits");
    digits.chunks(2).map(byte).collect()
}

fn fixtures(text: &str) -> BTreeMap<&str, &str> {
    text.lines().filter_map(|line| line.split_once(' ')).collect()
}

#[test]
fn every_message_is_written_with_the_same_bytes() {
    let expected = fixtures(MESSAGES);
    let messages = messages();
    assert_eq!(messages.len(), expected.len());
    for (name, body) in messages {
        assert_eq!(Some(hex(&encode_frame(body)).as_str()), expected.get(name).copied(), "{name}");
    }
}

#[test]
fn every_message_of_an_earlier_release_is_read() {
    let expected = fixtures(MESSAGES);
    for (name, body) in messages() {
        let mut decoder = FrameDecoder::default();
        decoder.push(&unhex(expected[name]));
        assert_eq!(decoder.next_frame().expect("a message"), Some(body), "{name}");
    }
}

#[test]
fn every_stored_and_published_value_has_the_same_bytes() {
    let expected = fixtures(VALUES);
    let values = values();
    assert_eq!(values.len(), expected.len());
    for (name, bytes) in values {
        assert_eq!(Some(hex(&bytes).as_str()), expected.get(name).copied(), "{name}");
    }
}

#[test]
fn stored_values_of_an_earlier_release_are_read() {
    let expected = fixtures(VALUES);
    let record = unhex(expected["WitnessRecord"]);
    let record: WitnessRecord = decode_value::<WitnessRecordRef, _>(&record).expect("a record");
    assert_eq!((record.promised, record.promised_to, record.accepted), (8, node(2), Some(view())));
    let snapshot = unhex(expected["ControlSnapshot"]);
    let snapshot: ControlSnapshot = decode_value::<ControlSnapshotRef, _>(&snapshot).expect("a snapshot");
    assert_eq!((snapshot.version, snapshot.history.len(), snapshot.config_index), (12, 2, 39));
    let command = unhex(expected["OrderEvacuation"]);
    let command: LogCommand = decode_value::<LogCommandRef, _>(&command).expect("an entry's payload");
    let evacuation = Evacuation { zone: "zone-a".to_string(), active: true };
    assert_eq!(command.body, Some(LogCommandBody::Evacuation(Box::new(evacuation))));
}
