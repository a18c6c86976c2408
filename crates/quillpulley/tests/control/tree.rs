//! Tests of control nodes as the top of the relay tree, with a platform, agents, and clients of the
//! directory.

use crate::agent::Agents;
use crate::cluster::{Cluster, Operation};
use crate::configuration;
use quillpulley_protocol::{
    decode_value, encode_frame, Body, ConfigHead, ConfigHeadRef, Hello, NodeId, PeerKind, Revision, Server,
    ServerRef, ServerState, Subscribe,
};
use quillpulley_serving_config::published::{
    control_node_key, endpoint_key, evacuated_key, restored_key, server_key, CONFIG_KEY,
};
use quillpulley_state_sync::{SyncNode, RANGE_COUNT};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tiny_http::Response;

/// A platform whose list of servers is set by the test.
struct Platform {
    address: SocketAddr,
    list: Arc<Mutex<String>>,
}

impl Platform {
    fn start(servers: &[&str]) -> Self {
        let server = tiny_http::Server::http("127.0.0.1:0").expect("cannot start the server");
        let address = server.server_addr().to_ip().expect("no valid address");
        let platform = Platform { address, list: Arc::default() };
        platform.set(servers);
        let list = platform.list.clone();
        std::thread::spawn(move || {
            for request in server.incoming_requests() {
                let body = list.lock().expect("the lock is poisoned").clone();
                request.respond(Response::from_string(body)).ok();
            }
        });
        platform
    }

    /// Replaces the list. Each server is written as its id and its state.
    fn set(&self, servers: &[&str]) {
        let entry = |text: &&str| {
            let (id, state) = text.split_once(' ').expect("the state is missing");
            format!(
                r#"{{"Id":"{id}","Service":"s","Address":"10.9.0.1:80","Zone":"zone-0","Version":"v1","Slots":4,
                "State":"{state}","WarmupLeftMs":0}}"#
            )
        };
        let entries: Vec<String> = servers.iter().map(entry).collect();
        let list = format!(r#"{{"Instances":[{}],"NextToken":null}}"#, entries.join(","));
        *self.list.lock().expect("the lock is poisoned") = list;
    }
}

fn version(sync_node: &SyncNode<()>) -> Option<u64> {
    let head: ConfigHead =
        decode_value::<ConfigHeadRef, ConfigHead>(sync_node.store().get(CONFIG_KEY)?).ok()?;
    Some(head.version)
}

fn server_state(sync_node: &SyncNode<()>, id: &str) -> Option<ServerState> {
    let server: Server = decode_value::<ServerRef, Server>(sync_node.store().get(&server_key(id))?).ok()?;
    Some(server.state)
}

#[test]
fn agents_learn_all_that_is_published_from_any_control_node() {
    let platform = Platform::start(&["i-1 ready", "i-2 ready", "i-3 ready"]);
    let mut cluster = Cluster::start(3, Some(platform.address));
    assert_eq!(cluster.call_until_definite(&Operation::replace(0, configuration("5"))).status, 200);
    let primary = cluster.primary();
    let control_nodes: Vec<String> = (0..3).map(|index| control_node_key(cluster.address(index))).collect();
    let mut agents = Agents::connect("zone-0", (0..3).map(|index| cluster.link_address(index)));
    agents.wait_for("the configuration", |sync_node| version(sync_node) == Some(5));
    agents.wait_for("the servers", |sync_node| server_state(sync_node, "i-3") == Some(ServerState::Ready));
    agents.wait_for("the control nodes", |sync_node| {
        control_nodes.iter().all(|control_node| sync_node.store().get(control_node).is_some())
    });

    platform.set(&["i-1 draining", "i-2 ready"]);
    assert_eq!(cluster.call_until_definite(&Operation::start_evacuation("zone-0")).status, 200);
    agents.wait_for("a server that drains", |sync_node| {
        server_state(sync_node, "i-1") == Some(ServerState::Draining)
    });
    agents.wait_for("the removal of a server", |sync_node| server_state(sync_node, "i-3").is_none());
    agents.wait_for("an evacuation", |sync_node| sync_node.store().get(&evacuated_key("zone-0")).is_some());
    assert_eq!(cluster.call_until_definite(&Operation::end_evacuation("zone-0")).status, 200);
    agents.wait_for("a restored zone", |sync_node| {
        sync_node.store().get(&restored_key("zone-0")).is_some()
            && sync_node.store().get(&evacuated_key("zone-0")).is_none()
    });
    agents.wait_for("the end of its slow start", |sync_node| {
        sync_node.store().get(&restored_key("zone-0")).is_none()
    });

    // After the primary was killed, the next one takes over what it has published.
    agents.keep_only((primary + 1) % 3);
    let epoch = agents.epoch();
    cluster.kill(primary);
    assert_eq!(cluster.call_until_definite(&Operation::replace(5, configuration("6"))).status, 200);
    agents.wait_for("the next configuration", |sync_node| {
        version(sync_node) == Some(6) && sync_node.revision().epoch > epoch
    });
    agents.wait_for("the servers that are still listed", |sync_node| {
        server_state(sync_node, "i-2") == Some(ServerState::Ready)
    });
}

#[test]
fn the_directory_lists_the_proxies_of_all_agents() {
    let mut cluster = Cluster::start(3, None);
    let mut agents = Agents::connect("zone-0", (0..2).map(|index| cluster.link_address(index)));
    let is_known =
        |sync_node: &SyncNode<()>, name: &str| sync_node.store().get(&endpoint_key(name)).is_some();
    agents.wait_for("both proxies", |sync_node| {
        is_known(sync_node, "front-0") && is_known(sync_node, "front-1")
    });
    let resolved_addresses = |cluster: &Cluster, index| {
        let response = cluster.resolve(index, "zone-0")?;
        (response.status == 200).then(|| String::from_utf8(response.body).expect("the text is not UTF-8"))
    };
    for index in 0..3 {
        cluster.wait_for("both proxies in the directory", |cluster| {
            let body = resolved_addresses(cluster, index)?;
            (body.contains("front-0:80") && body.contains("front-1:80")).then_some(())
        });
    }
    agents.end_agent(1);
    agents.wait_for("the removal of a proxy", |sync_node| {
        is_known(sync_node, "front-0") && !is_known(sync_node, "front-1")
    });
    for index in 0..3 {
        cluster.wait_for("only one proxy in the directory", |cluster| {
            let body = resolved_addresses(cluster, index)?;
            (body.contains("front-0:80") && !body.contains("front-1:80")).then_some(())
        });
    }
}

/// Starts control nodes, and moves the platform's list to an address where it has another server.
fn with_moved_list() -> (Cluster, Agents, Platform) {
    let platform = Platform::start(&["i-1 ready"]);
    let mut cluster = Cluster::start(3, Some(platform.address));
    cluster.primary();
    let mut agents = Agents::connect("zone-0", (0..3).map(|index| cluster.link_address(index)));
    agents.wait_for("the servers", |sync_node| server_state(sync_node, "i-1") == Some(ServerState::Ready));
    let moved = Platform::start(&["i-1 draining", "i-2 ready"]);
    cluster.set_platform(moved.address);
    (cluster, agents, moved)
}

fn wait_for_moved_list(agents: &mut Agents) {
    agents.wait_for("a new server", |sync_node| server_state(sync_node, "i-2") == Some(ServerState::Ready));
    agents.wait_for("a server that drains", |sync_node| {
        server_state(sync_node, "i-1") == Some(ServerState::Draining)
    });
}

/// Guards against a list that has moved and is never read again.
#[test]
fn a_moved_list_is_read_at_its_new_address_after_a_signal() {
    let (cluster, mut agents, _platform) = with_moved_list();
    (0..3).for_each(|index| cluster.signal(index, "-HUP"));
    wait_for_moved_list(&mut agents);
}

#[test]
fn a_moved_list_is_read_at_its_new_address_without_a_signal() {
    let (_cluster, mut agents, _platform) = with_moved_list();
    wait_for_moved_list(&mut agents);
}

/// Guards against settings that are lost while their file is being written, or is invalid.
#[test]
fn settings_that_are_not_complete_leave_the_list_where_it_is() {
    let platform = Platform::start(&["i-1 ready"]);
    let mut cluster = Cluster::start(1, Some(platform.address));
    cluster.primary();
    let mut agents = Agents::connect("zone-0", (0..1).map(|index| cluster.link_address(index)));
    agents.wait_for("the servers", |sync_node| server_state(sync_node, "i-1") == Some(ServerState::Ready));
    for (end, server) in [("[Cloud]", "i-2"), ("RatePerS", "i-3"), ("Listen]", "i-4"), ("NodeName", "i-5")] {
        cluster.truncate_settings(0, end);
        cluster.signal(0, "-HUP");
        platform.set(&[&format!("{server} ready")]);
        agents.wait_for("a new server", |node| server_state(node, server) == Some(ServerState::Ready));
    }
}

/// Connects as an agent that has state of this epoch, and returns whether the control node closes the link.
fn is_sent_away(address: SocketAddr, epoch: u64) -> bool {
    let mut link = TcpStream::connect(address).expect("a connection");
    let hello = Hello {
        kind: PeerKind::Agent,
        node: NodeId::new(Ipv4Addr::LOCALHOST, 0),
        name: "front-9".to_string(),
        zone: "zone-0".to_string(),
        region: "none".to_string(),
        control_address: String::new(),
    };
    let subscribe = Subscribe { revision: Revision { epoch, tick: 7 }, digests: vec![0; RANGE_COUNT] };
    for message in [Body::Hello(Box::new(hello)), Body::Subscribe(Box::new(subscribe))] {
        link.write_all(&encode_frame(message)).expect("the message is sent");
    }
    link.set_read_timeout(Some(Duration::from_millis(500))).expect("a timeout");
    link.read_to_end(&mut Vec::new()).is_ok()
}

/// Guards against configurations that are late because agents wait below a control node which is cut off in an older epoch.
#[test]
fn a_cut_off_control_node_sends_agents_away_that_have_seen_a_later_epoch() {
    let mut cluster = Cluster::start(3, None);
    let primary = cluster.primary();
    let others: Vec<usize> = (0..3).filter(|index| *index != primary).collect();
    let address = cluster.link_address(others[0]);
    let mut agents = Agents::connect("zone-0", std::iter::once(address));
    agents.wait_for("published state", |sync_node| sync_node.revision().epoch > 0);
    let epoch = agents.epoch();
    assert!(!is_sent_away(address, epoch + 1), "the node is current and may reach that epoch at any moment");

    [primary, others[1]].into_iter().for_each(|index| cluster.signal(index, "-STOP"));
    cluster.wait_for("the state to be stale", |_| is_sent_away(address, epoch + 1).then_some(()));
    assert!(!is_sent_away(address, epoch), "the node knows as much as the agent");
}
