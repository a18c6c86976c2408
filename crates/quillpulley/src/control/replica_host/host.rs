//! The state of a control node, and the handlers of all its events.
//!
//! After each event, `ControlHost::reconcile` updates everything that depends on the state: the leadership, the
//! position in the relay tree, the published state, commands and responses, the directory, and the links.

use super::components::Components;
use super::links::{LinkEvent, Links};
use super::status;
use super::status_snapshot::StatusSnapshot;
use super::storage_thread::{StorageThread, WriteCompletion};
use crate::control::api::{ApiRequest, Operation, Responder};
use crate::control::clock::Clock;
use crate::control::commands::CommandQueue;
use crate::control::directory::DirectoryHandle;
use crate::control::discovery::fetcher::Fetched;
use crate::control::discovery::ServiceDiscovery;
use crate::control::distribution::leader_publisher::{LeaderPublisher, LeadershipChange};
use crate::control::distribution::relay_node::{Child, RelayNode};
use crate::control::response::TimedResponse;
use crate::peer::PeerEvent;
use crate::settings_watch::{Section, SettingsWatch};
use crate::Settings;
use quillpulley_control_state::ControlState;
use quillpulley_protocol::{ControlNode, NodeId};
use quillpulley_replication::{Action, Event, Replica, Role};
use quillpulley_settings::Platform;
use quillpulley_state_sync as state_sync;
use std::net::SocketAddr;
use std::time::Duration;

/// The sections of the settings that a running control node applies.
const APPLIED_SECTIONS: [Section; 2] = [Section::Seeds, Section::Cloud];
/// Interval at which the settings file is read without a signal.
const SETTINGS_READ_INTERVAL: Duration = Duration::from_secs(1);

/// The part of a control node that runs on the main thread and owns the whole state of the node.
pub struct ControlHost {
    clock: Clock,
    /// The number of clock jumps of which the replica has been notified.
    known_jumps: u64,
    me: NodeId,
    settings: SettingsWatch,
    replica: Replica<ControlState>,
    storage: StorageThread,
    discovery: ServiceDiscovery,
    directory: DirectoryHandle,
    links: Links,
    relay: RelayNode,
    commands: CommandQueue<Responder>,
    publisher: LeaderPublisher,
}

impl ControlHost {
    /// Creates a host that is not connected to any other node yet.
    pub fn new(settings: Settings, components: Components) -> Self {
        let Components { clock, me, peers, replica, storage, fetcher, directory } = components;
        let now = clock.now();
        let node = ControlNode { ip: me.ip, zone: settings.zone.clone(), region: settings.region.clone() };
        let max_list_lag = max_list_lag(settings.platform.as_ref());
        let mut host = ControlHost {
            links: Links::new(node, peers),
            relay: RelayNode::new(clock.clone(), &settings.node_name, settings.limits.link_mbps),
            discovery: ServiceDiscovery::new(fetcher, settings.platform.as_ref()),
            settings: SettingsWatch::new(now, settings, &APPLIED_SECTIONS, SETTINGS_READ_INTERVAL),
            known_jumps: clock.jumps(),
            clock,
            me,
            replica,
            storage,
            directory,
            commands: CommandQueue::new(Responder::caller_has_gone),
            publisher: LeaderPublisher::new(max_list_lag),
        };
        host.learn_control_nodes(now);
        host.reconcile();
        host
    }

    /// Handles the outcome of a disk write.
    pub fn handle_write_completed(&mut self, completion: WriteCompletion) {
        self.observe_clock();
        let WriteCompletion { ticket, result } = completion;
        self.handle_replica_event(Event::WriteCompleted { ticket, result });
        self.reconcile();
    }

    /// Handles a request from an operator.
    pub fn handle_request(&mut self, request: ApiRequest) {
        self.observe_clock();
        let now = self.clock.now();
        self.update_leadership(now);
        let ApiRequest { operation, receipt, responder } = request;
        match (self.replica.lease_until(now), operation) {
            (_, Operation::ReadStatus) => self.respond(responder, status::response(&self.snapshot(), now)),
            (None, _) => self.respond(responder, self.snapshot().redirect(now)),
            (Some(_), Operation::Execute(command)) => self.commands.push(now, receipt, command, responder),
            (Some(lease_end), Operation::ReadConfiguration) => {
                self.respond(responder, self.snapshot().configuration(lease_end));
            }
        }
        self.reconcile();
    }

    /// Handles a page of the platform's list, or the failure to fetch it.
    pub fn handle_page(&mut self, fetched: Fetched) {
        self.observe_clock();
        let now = self.clock.now();
        self.update_leadership(now);
        let published = self.publisher.server_count();
        let reading = self.discovery.handle_page(now, self.publisher.is_leader(), published, fetched);
        if let Some(reading) = reading {
            self.publisher.publish_list(now, reading, &mut self.relay, &mut self.links);
        }
        self.reconcile();
    }

    /// Handles a socket event.
    pub fn handle_peer_event(&mut self, event: PeerEvent) {
        self.observe_clock();
        for event in self.links.handle(self.clock.now(), event) {
            self.handle_link_event(event);
        }
        self.reconcile();
    }

    fn handle_link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Connected(node, locality) => {
                self.publisher.control_nodes_changed();
                self.handle_replica_event(Event::LocalityLearned { node, locality });
                self.handle_replica_event(Event::Connected(node));
            }
            LinkEvent::Disconnected(node) => {
                self.relay.control_node_lost(node, &mut self.links);
                self.handle_replica_event(Event::Disconnected(node));
            }
            LinkEvent::IncomingLinkLost(node) => self.relay.control_node_lost(node, &mut self.links),
            LinkEvent::IncomingLinkReplaced(node) => self.relay.control_node_link_replaced(node),
            LinkEvent::ControlNodeMessage(node, body) => {
                if let Some(body) = self.relay.handle_control_node_message(node, body, &mut self.links) {
                    self.handle_replica_event(Event::Message { from: node, body });
                }
            }
            LinkEvent::AgentConnected(link) => {
                self.handle_sync_event(state_sync::Event::ChildUp(Child::Agent(link)));
            }
            LinkEvent::AgentDisconnected(link) => {
                self.handle_sync_event(state_sync::Event::ChildDown(Child::Agent(link)));
            }
            LinkEvent::AgentMessage(link, body) => {
                self.relay.handle_agent_message(link, body, &mut self.links);
            }
        }
    }

    fn handle_sync_event(&mut self, event: state_sync::Event<Child>) {
        self.relay.handle(event, &mut self.links);
    }

    /// Performs the work that is due because time has passed. Must be called every 50 ms.
    pub fn tick(&mut self) {
        self.observe_clock();
        let now = self.clock.now();
        self.handle_replica_event(Event::Tick);
        self.update_leadership(now);
        self.handle_sync_event(state_sync::Event::Tick);
        self.commands.expire(now);
        self.publisher.tick(now, &mut self.relay, &mut self.links);
        self.discovery.tick(now, self.publisher.is_leader());
        self.relay.tick_directory(now);
        self.forget_control_nodes(now);
        if now >= self.settings.next_reading() {
            self.reload_settings();
        }
        self.reconcile();
    }

    /// Makes the replica discard a lease that was granted before a clock jump. Must be called before anything
    /// is decided.
    fn observe_clock(&mut self) {
        let jumps = self.clock.jumps();
        if jumps != self.known_jumps {
            self.known_jumps = jumps;
            self.handle_replica_event(Event::ClockJumped);
        }
    }

    /// Starts a graceful shutdown: hands over the leadership.
    pub fn begin_shutdown(&mut self) {
        self.handle_replica_event(Event::Shutdown);
        self.reconcile();
    }

    /// Returns whether a process that shuts down may exit: its data is safe on other nodes, or no other node
    /// could take it over.
    pub fn can_exit(&self) -> bool {
        self.replica.can_exit()
    }

    /// Returns the time between SIGTERM and SIGKILL.
    pub fn grace_period(&self) -> Duration {
        self.settings.settings().bounds.grace
    }

    /// Reads the settings file again, and applies what a running process can change.
    pub fn reload_settings(&mut self) {
        let now = self.clock.now();
        if self.settings.update(now, Settings::from_environment()) {
            let platform = self.settings.settings().platform.as_ref();
            self.discovery.set_platform(now, platform);
            self.publisher.set_max_list_lag(max_list_lag(platform));
        }
        self.learn_control_nodes(now);
        self.reconcile();
    }

    fn learn_control_nodes(&mut self, now: Duration) {
        let seeds = self.settings.settings().seeds.iter().filter_map(|seed| match seed {
            SocketAddr::V4(seed) => Some(*seed.ip()),
            SocketAddr::V6(_) => None,
        });
        self.links.learn(now, seeds);
        self.links.learn(now, self.replica.known_nodes().iter().map(NodeId::address));
    }

    fn forget_control_nodes(&mut self, now: Duration) {
        if self.links.forget_unreachable(now, &self.replica.known_nodes()) {
            self.publisher.control_nodes_changed();
        }
    }

    fn snapshot(&self) -> StatusSnapshot<'_> {
        StatusSnapshot {
            name: &self.settings.settings().node_name,
            me: self.me,
            control_port: self.settings.settings().listen.control.map(|address| address.port()),
            replica: &self.replica,
        }
    }

    /// Passes an event to the replica and performs the resulting actions.
    fn handle_replica_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.replica.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send { to, body } => self.links.send_to_control_node(to, &body),
            Action::Store { ticket, write } => self.storage.store(ticket, write),
            Action::Applied { .. } => self.publisher.state_changed(),
            Action::Committed { proposal } => self.handle_committed(proposal),
            Action::Rejected { proposal, .. } => self.commands.failed(proposal),
            // `update_leadership` reads the role and the lease whenever they are needed, and the replica logs
            // its role changes itself.
            Action::RoleChanged(_) => {}
        }
    }

    fn handle_committed(&mut self, proposal: u64) {
        let lease_end = self.replica.lease_until(self.clock.now());
        self.commands.committed(proposal, self.replica.state(), lease_end.is_some());
        self.send_responses(lease_end.unwrap_or_default());
    }

    /// Updates everything that depends on the state of the replica and the links.
    fn reconcile(&mut self) {
        let now = self.clock.now();
        self.update_leadership(now);
        self.update_relay(now);
        self.propose_commands();
        // Any remaining response is not covered by a lease, so it expires at once and the outcome is reported
        // as unknown.
        self.send_responses(Duration::ZERO);
        self.update_directory(now);
        self.links.connect_due(now, self.settings.settings().control_port());
    }

    /// Updates the leadership from the role and the lease of the replica.
    fn update_leadership(&mut self, now: Duration) {
        let epoch = match self.replica.role(now) {
            Role::Primary { epoch, holds_lease: true } => Some(epoch),
            _ => None,
        };
        let (state, relay, links) = (self.replica.state(), &mut self.relay, &mut self.links);
        match self.publisher.update(now, epoch, state, relay, links) {
            LeadershipChange::Unchanged => {}
            LeadershipChange::Gained { epoch } => {
                self.commands.begin_term(epoch);
                self.discovery.reset(now);
            }
            LeadershipChange::Lost => {
                let redirect = self.snapshot().redirect(now);
                self.commands.abandon(redirect.unchecked());
                self.send_responses(redirect.expires_at());
            }
        }
    }

    /// Publishes pending changes if this process is the leader, and chooses a parent otherwise.
    fn update_relay(&mut self, now: Duration) {
        let (relay, links) = (&mut self.relay, &mut self.links);
        if self.publisher.is_leader() {
            self.publisher.publish_changes(now, self.replica.state(), relay, links);
        } else {
            let primary = self.replica.primary_hint(now).filter(|primary| *primary != self.me);
            relay.update_parent(now, primary, links);
        }
    }

    fn propose_commands(&mut self) {
        while let Some(lease_end) = self.replica.lease_until(self.clock.now()) {
            let proposal = self.commands.next_proposal_for(&self.replica);
            self.send_responses(lease_end);
            let Some(proposal) = proposal else { return };
            self.handle_replica_event(Event::Propose {
                proposal: proposal.number,
                payload: proposal.payload,
            });
        }
    }

    /// Sends the responses that were decided under a lease which ends at `lease_end`.
    fn send_responses(&mut self, lease_end: Duration) {
        for (responder, response) in self.commands.take_responses() {
            self.respond(responder, TimedResponse::expiring_at(lease_end, response));
        }
    }

    fn respond(&self, responder: Responder, response: TimedResponse) {
        responder.send(response.with_known_jumps(self.known_jumps));
    }

    fn update_directory(&mut self, now: Duration) {
        if let Some(directory) = self.relay.changed_directory(now) {
            self.directory.set(directory);
        }
    }
}

/// Returns the maximum time by which the platform's list is out of date.
fn max_list_lag(platform: Option<&Platform>) -> Duration {
    platform.map_or(Duration::ZERO, |platform| platform.max_lag)
}
