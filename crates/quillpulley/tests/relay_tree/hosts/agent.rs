//! An agent: performs the actions of the state machines as `quillpulley::agent` does.

use super::{response_text, subscription_text, Address, Context, Host, Input, LinkId, Output, ProcessKind};
use quillpulley::agent::drain::{self, AgentDrain};
use quillpulley::agent::local_state::LocalState;
use quillpulley::agent::parent_search::{self, ParentSearch};
use quillpulley::agent::peer_directory::PeerDirectory;
use quillpulley::Settings;
use quillpulley_membership::{self as membership, Monitor, MonitorOptions};
use quillpulley_protocol::{Body, Hello, NodeId, PeerKind, Revision};
use quillpulley_state_sync::parent_selection::ParentCandidate;
use quillpulley_state_sync::{self as state_sync, Options, Store, SyncNode};
use std::collections::BTreeMap;
use std::time::Duration;

/// Timers are rounded up to the next multiple of this interval.
const TIMER_GRANULARITY: Duration = Duration::from_millis(25);
const SEED_RELOAD_INTERVAL: Duration = Duration::from_secs(3);
const MAX_CHILDREN: usize = 128;

struct Child {
    kind: PeerKind,
    name: String,
}

pub struct AgentHost {
    settings: Settings,
    incarnation: u64,
    node: SyncNode<LinkId>,
    monitor: Monitor,
    parent_search: ParentSearch,
    drain: AgentDrain,
    /// The links to candidates for the parent.
    candidates: BTreeMap<ParentCandidate, LinkId>,
    parent: Option<LinkId>,
    children: BTreeMap<LinkId, Child>,
    local_state: LocalState,
    peer_directory: PeerDirectory,
    directory_changed: bool,
    failed_candidates: Vec<ParentCandidate>,
}

impl AgentHost {
    pub fn new(settings: &Settings, seed: u64) -> Self {
        let mut peer_directory = PeerDirectory::default();
        peer_directory.set_seeds(settings);
        let options = Options::new(&settings.node_name).with_link_mbps(settings.limits.link_mbps);
        AgentHost {
            incarnation: seed,
            node: SyncNode::new(options),
            monitor: Monitor::new(MonitorOptions::new(&settings.node_name, seed)),
            parent_search: ParentSearch::new(seed),
            drain: AgentDrain::new(settings.bounds.grace),
            candidates: BTreeMap::new(),
            parent: None,
            children: BTreeMap::new(),
            local_state: LocalState::default(),
            peer_directory,
            directory_changed: true,
            failed_candidates: Vec::new(),
            settings: settings.clone(),
        }
    }

    fn candidate(&self, link: LinkId) -> Option<ParentCandidate> {
        self.candidates.iter().find(|(_, known)| **known == link).map(|(candidate, _)| *candidate)
    }

    fn child_opened(&mut self, context: &mut Context, link: LinkId, hello: Hello) {
        if self.drain.rejects_children() || hello.kind == PeerKind::Control {
            return context.close(link);
        }
        let is_same = |child: &Child| child.kind == hello.kind && child.name == hello.name;
        let previous = self.children.iter().find(|(_, child)| is_same(child)).map(|(link, _)| *link);
        if let Some(previous) = previous {
            if previous > link {
                return context.close(link);
            }
            self.children.remove(&previous);
            context.close(previous);
            self.handle_sync(context, state_sync::Event::ChildDown(previous));
        }
        self.children.insert(link, Child { kind: hello.kind, name: hello.name });
        self.handle_sync(context, state_sync::Event::ChildUp(link));
    }

    fn frame(&mut self, context: &mut Context, link: LinkId, mut body: Body) {
        if self.parent == Some(link) {
            if let Body::Update(update) = &body {
                response_text(update).into_iter().for_each(|line| context.log(line));
            }
            self.handle_sync(context, state_sync::Event::ParentFrame(body));
        } else if let Some(child) = self.children.get(&link) {
            if let (PeerKind::Agent, Body::Subscribe(subscribe)) = (child.kind, &body) {
                if self.node.is_outdated_for(context.now, subscribe) {
                    self.remove_child(context, link);
                    self.handle_sync(context, state_sync::Event::ChildDown(link));
                    return context.close(link);
                }
            }
            if let (PeerKind::Proxy, Body::Report(report)) = (child.kind, &mut body) {
                if self.local_state.take_endpoint(report) {
                    self.report_local(context);
                }
            }
            self.handle_sync(context, state_sync::Event::ChildFrame(link, body));
        }
    }

    fn link_closed(&mut self, context: &mut Context, link: LinkId) {
        if self.children.contains_key(&link) {
            self.remove_child(context, link);
            self.handle_sync(context, state_sync::Event::ChildDown(link));
        } else if let Some(candidate) = self.candidate(link) {
            if self.parent == Some(link) {
                context.log(format!("lost the parent {candidate:?}"));
                self.parent = None;
                self.handle_sync(context, state_sync::Event::ParentDown);
            } else {
                context.log(format!("no connection to {candidate:?}"));
            }
            self.candidates.remove(&candidate);
            self.handle_search(context, parent_search::Event::Lost(candidate));
        }
    }

    fn remove_child(&mut self, context: &mut Context, link: LinkId) {
        let Some(child) = self.children.remove(&link) else { return };
        if child.kind == PeerKind::Proxy && self.local_state.remove_endpoint() {
            self.report_local(context);
        }
    }

    fn report_local(&mut self, context: &mut Context) {
        let report = self.local_state.report();
        self.handle_sync(context, state_sync::Event::LocalReport(report));
    }

    fn handle_sync(&mut self, context: &mut Context, event: state_sync::Event<LinkId>) {
        let before = self.node.revision();
        let was_answered = self.node.is_subscription_answered();
        let mut actions = Vec::new();
        self.node.handle(context.now, event, &mut actions);
        for action in actions {
            self.perform_sync(context, action);
        }
        if self.node.revision() != before {
            self.handle_search(context, parent_search::Event::RevisionAdvanced);
        } else if !was_answered && self.node.is_subscription_answered() {
            self.handle_search(context, parent_search::Event::NothingNewer);
        }
    }

    fn perform_sync(&mut self, context: &mut Context, action: state_sync::Action<LinkId>) {
        match action {
            state_sync::Action::SendParent(body) => {
                if let (Some(parent), Body::Subscribe(subscribe)) = (self.parent, &body) {
                    context.log(format!("{} on link {parent}", subscription_text(subscribe)));
                }
                context.send(self.parent.into_iter().collect(), body);
            }
            state_sync::Action::SendChild(child, body) => {
                if let Body::Update(update) = &body {
                    let name = self.children.get(&child).map_or("?", |child| &child.name);
                    let line = response_text(update).map(|text| format!("answers {name}: {text}"));
                    line.into_iter().for_each(|line| context.log(line));
                }
                context.send(vec![child], body);
            }
            state_sync::Action::SendChildren(children, body) => context.send(children, body),
            state_sync::Action::DropChild(child) => {
                self.remove_child(context, child);
                context.close(child);
            }
            state_sync::Action::Changed(changed) => {
                self.directory_changed |= PeerDirectory::is_affected_by(&changed);
            }
            state_sync::Action::TotalsChanged | state_sync::Action::EndpointsChanged => {}
        }
    }

    fn handle_search(&mut self, context: &mut Context, event: parent_search::Event) {
        let mut actions = Vec::new();
        self.parent_search.handle(context.now, event, &mut actions);
        for action in actions {
            self.perform_search(context, action);
        }
    }

    fn perform_search(&mut self, context: &mut Context, action: parent_search::Action) {
        match action {
            parent_search::Action::Connect(candidate) => {
                let (ip, kind) = match candidate {
                    ParentCandidate::ControlNode(ip) => (ip, ProcessKind::Control),
                    ParentCandidate::Agent(ip) => (ip, ProcessKind::Agent),
                };
                let link = context.connect(Address { ip, kind });
                context.log(format!("connects to {candidate:?}"));
                self.candidates.insert(candidate, link);
            }
            parent_search::Action::Use(candidate) => {
                context.log(format!("uses the parent {candidate:?}"));
                self.parent = self.candidates.get(&candidate).copied();
                self.handle_sync(context, state_sync::Event::ParentUp);
            }
            parent_search::Action::Close(candidate) => {
                let Some(link) = self.candidates.remove(&candidate) else { return };
                context.log(format!("closes the link to {candidate:?}"));
                self.parent = self.parent.filter(|parent| *parent != link);
                context.close(link);
            }
        }
    }

    fn handle_membership(&mut self, context: &mut Context, event: membership::Event) {
        let mut actions = Vec::new();
        self.monitor.handle(context.now, event, &mut actions);
        for action in actions {
            match action {
                membership::Action::Send(to, body) => context.outputs.push(Output::Datagram { to, body }),
                membership::Action::SuspectsChanged(suspects) => {
                    self.local_state.set_suspects(suspects);
                    self.report_local(context);
                }
            }
        }
    }

    fn refresh_directory(&mut self, context: &mut Context) {
        let failed = self.parent_search.failed_candidates(context.now);
        if !self.directory_changed && failed == self.failed_candidates {
            return;
        }
        if std::mem::take(&mut self.directory_changed) {
            self.peer_directory.read(self.node.store());
            let peers = self.peer_directory.peers(self.settings.agent_port());
            self.handle_membership(context, membership::Event::Peers(peers));
        }
        let candidates = self.peer_directory.candidates(&self.settings, &failed);
        self.failed_candidates = failed;
        self.handle_search(context, parent_search::Event::Candidates(candidates));
    }

    fn has_proxy(&self) -> bool {
        self.children.values().any(|child| child.kind == PeerKind::Proxy)
    }

    fn perform_drain(&mut self, context: &mut Context, actions: Vec<drain::Action>) {
        for action in actions {
            match action {
                drain::Action::StopListening => context.outputs.push(Output::StopListening),
                drain::Action::Exit => context.outputs.push(Output::Exit),
                drain::Action::CloseChildAgents => self.close_child_agents(context),
            }
        }
    }

    fn close_child_agents(&mut self, context: &mut Context) {
        let agents = self.children.iter().filter(|(_, child)| child.kind == PeerKind::Agent);
        let links: Vec<LinkId> = agents.map(|(link, _)| *link).collect();
        for link in links {
            self.children.remove(&link);
            context.close(link);
            self.handle_sync(context, state_sync::Event::ChildDown(link));
        }
    }
}

impl Host for AgentHost {
    fn handle(&mut self, context: &mut Context, input: Input) {
        match input {
            Input::Opened { link, hello, incoming: true } => self.child_opened(context, link, hello),
            Input::Opened { link, .. } => match self.candidate(link) {
                Some(candidate) => self.handle_search(context, parent_search::Event::Opened(candidate)),
                None => context.close(link),
            },
            Input::Frame { link, body } => self.frame(context, link, body),
            Input::Closed { link } => self.link_closed(context, link),
            Input::Datagram { from, body } => {
                self.handle_membership(context, membership::Event::Received(body, from))
            }
            Input::Shutdown => {
                let mut actions = Vec::new();
                self.drain.begin(context.now, &mut actions);
                self.perform_drain(context, actions);
            }
            Input::Publish(_) => {}
        }
    }

    fn tick(&mut self, context: &mut Context) {
        if context.now >= self.node.next_tick() {
            self.handle_sync(context, state_sync::Event::Tick);
        }
        if context.now >= self.monitor.next_tick() {
            self.handle_membership(context, membership::Event::Tick);
        }
        self.refresh_directory(context);
        if context.now >= self.parent_search.next_tick() {
            self.handle_search(context, parent_search::Event::Tick);
        }
        let mut actions = Vec::new();
        self.drain.update(context.now, self.has_proxy(), &mut actions);
        self.perform_drain(context, actions);
    }

    fn next_wake(&self, now: Duration) -> Duration {
        let due = [
            self.node.next_tick(),
            self.monitor.next_tick(),
            self.parent_search.next_tick(),
            self.drain.next_tick(),
            now + SEED_RELOAD_INTERVAL,
        ];
        let due = due.into_iter().min().unwrap_or_default().max(now);
        let steps = due.as_millis() / TIMER_GRANULARITY.as_millis() + 1;
        TIMER_GRANULARITY * u32::try_from(steps).unwrap_or(u32::MAX)
    }

    fn hello(&self) -> Hello {
        Hello {
            kind: PeerKind::Agent,
            node: NodeId::new(self.settings.ip, self.incarnation),
            name: self.settings.node_name.clone(),
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            control_address: String::new(),
        }
    }

    fn revision(&self) -> Revision {
        self.node.revision()
    }

    fn store(&self) -> &Store {
        self.node.store()
    }

    fn max_incoming(&self) -> usize {
        MAX_CHILDREN
    }
}
