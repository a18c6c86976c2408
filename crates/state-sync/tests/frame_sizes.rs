//! Tests that the sizes of frames on the wire are within the figures in the documentation of `Options`.

use quillpulley_protocol::{encode_frame, Body, EndpointState, ProxyEndpoint, ServerLoad, ServiceCounters};
use quillpulley_state_sync::{server_key, Action, Event, LocalReport, Options, SyncNode};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(500);

fn size_of_last(actions: &[Action<u32>]) -> usize {
    let sent = actions.iter().rev().find_map(|action| match action {
        Action::SendParent(body) | Action::SendChild(_, body) | Action::SendChildren(_, body) => {
            Some(body.clone())
        }
        _ => None,
    });
    encode_frame(sent.expect("a frame was sent")).len()
}

/// Returns the size in bytes of the second report on a connection, which is a delta.
fn report_size(report: LocalReport) -> usize {
    let mut node: SyncNode<u32> = SyncNode::new(Options::new("front-zona-10-1"));
    let mut actions = Vec::new();
    node.handle(Duration::ZERO, Event::ParentUp, &mut actions);
    node.handle(Duration::ZERO, Event::LocalReport(report), &mut actions);
    node.handle(TICK, Event::Tick, &mut actions);
    size_of_last(&actions)
}

fn services(count: u32) -> LocalReport {
    let count_of = |number| ServiceCounters {
        service: format!("service-{number}"),
        requests: 10,
        retries: 1,
        rejected_retries: 1,
    };
    LocalReport { services: (0..count).map(count_of).collect(), ..LocalReport::default() }
}

fn servers(count: u32) -> LocalReport {
    let load = |number: u32| ServerLoad {
        server: server_key(&format!("i-{number}")),
        running: 1,
        waiting: 2,
        prompt_tokens: 3000,
        failures: 1,
    };
    LocalReport { servers: (0..count).map(load).collect(), ..LocalReport::default() }
}

#[test]
fn a_heartbeat_takes_100_bytes_at_most() {
    let mut root: SyncNode<u32> = SyncNode::new(Options::new("root"));
    let mut child: SyncNode<u32> = SyncNode::new(Options::new("child"));
    let mut actions = Vec::new();
    root.handle(Duration::ZERO, Event::BecomeRoot { epoch: 1 }, &mut actions);
    root.handle(Duration::ZERO, Event::Heartbeat, &mut actions);
    root.handle(Duration::ZERO, Event::ChildUp(1), &mut actions);
    let mut sent = Vec::new();
    child.handle(Duration::ZERO, Event::ParentUp, &mut sent);
    let subscribe = sent.iter().find_map(|action| match action {
        Action::SendParent(Body::Subscribe(subscribe)) => Some(Body::Subscribe(subscribe.clone())),
        _ => None,
    });
    root.handle(
        Duration::ZERO,
        Event::ChildFrame(1, subscribe.expect("the child sent a subscription")),
        &mut actions,
    );
    root.handle(TICK, Event::Heartbeat, &mut actions);
    assert!(size_of_last(&actions) <= 100, "{}", size_of_last(&actions));
}

#[test]
fn an_empty_report_takes_100_bytes_at_most() {
    assert!(report_size(LocalReport::default()) <= 100, "{}", report_size(LocalReport::default()));
}

#[test]
fn each_service_takes_50_bytes_at_most() {
    assert!(report_size(services(20)) - report_size(services(10)) <= 500);
}

#[test]
fn each_server_takes_24_bytes() {
    assert_eq!(report_size(servers(30)) - report_size(servers(20)), 240);
}

#[test]
fn a_proxy_takes_150_bytes_at_most() {
    let endpoint = ProxyEndpoint {
        name: "front-zona-10-1".to_string(),
        ip: 0x0a01_000d,
        zone: "zona-10".to_string(),
        region: "gt-central".to_string(),
        address: "10.1.0.13:8161".to_string(),
        state: EndpointState::Ready,
        incarnation: 1,
        preferred_regions: Vec::new(),
    };
    let size = report_size(LocalReport { endpoint: Some(endpoint), ..LocalReport::default() });
    assert!(size - report_size(LocalReport::default()) <= 150, "{size}");
}
