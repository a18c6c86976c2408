//! The loop of an agent: passes events to the state machines and does what they want.

mod links;
mod tree;

use crate::agent::children::Children;
use crate::agent::datagrams::Datagrams;
use crate::agent::ending::{self, Ending};
use crate::agent::local::Local;
use crate::agent::neighbourhood::Neighbourhood;
use crate::agent::parent_links::ParentLinks;
use crate::agent::search::{self, ParentSearch};
use crate::agent::{AgentSockets, LoadSettings};
use crate::peer::{LinkId, PeerEvent, PeerOptions, Peers};
use crate::signals::ProcessSignal;
use crate::Settings;
use log::{info, warn};
use quillpulley_membership::{self as membership, Monitor, MonitorOptions};
use quillpulley_protocol::{Hello, NodeId, PeerKind};
use quillpulley_state_sync::parent_selection::ParentCandidate;
use quillpulley_state_sync::{self as feed, SyncNode};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{sleep_until, Instant};

/// Timers are put off to the next multiple of this, so that several are served by one wake-up.
const TIMER_GRID: Duration = Duration::from_millis(25);
/// The settings are read again while no parent has been found for this long, and as often after that: the seeds
/// may have changed without a signal.
const SEEDS_AGAIN: Duration = Duration::from_secs(3);
/// Links from children: those of the tree, and room for some that move.
const MAXIMUM_CHILDREN: usize = 128;

/// An agent that serves.
pub struct Host {
    started: Instant,
    settings: Settings,
    load_settings: LoadSettings,
    peers: Rc<Peers>,
    events: UnboundedReceiver<PeerEvent>,
    datagrams: Datagrams,
    node: SyncNode<LinkId>,
    monitor: Monitor,
    search: ParentSearch,
    ending: Ending,
    parents: ParentLinks,
    children: Children,
    local: Local,
    neighbourhood: Neighbourhood,
    /// Whether the neighbourhood has to be read anew.
    neighbours_changed: bool,
    /// The failed candidates that the latest list of candidates took account of.
    failed: Vec<ParentCandidate>,
    /// The parent that was logged last.
    logged_parent: Option<ParentCandidate>,
    seeds_read: Duration,
}

impl Host {
    /// Takes children from now on.
    pub fn start(settings: Settings, sockets: AgentSockets, load_settings: LoadSettings) -> Host {
        let options = PeerOptions { maximum_incoming: MAXIMUM_CHILDREN, ..PeerOptions::default() };
        let (peers, events) = Peers::with_options(hello(&settings), options);
        peers.listen(sockets.agents);
        peers.listen(sockets.proxy);
        let mut neighbourhood = Neighbourhood::default();
        neighbourhood.set_seeds(&settings);
        Host {
            started: Instant::now(),
            peers,
            events,
            datagrams: Datagrams::new(sockets.datagrams),
            node: SyncNode::new(feed::Options::new(&settings.node_name)),
            monitor: Monitor::new(MonitorOptions::new(&settings.node_name, fastrand::u64(..))),
            search: ParentSearch::new(fastrand::u64(..)),
            ending: Ending::new(settings.bounds.grace),
            parents: ParentLinks::default(),
            children: Children::default(),
            local: Local::default(),
            neighbourhood,
            neighbours_changed: true,
            failed: Vec::new(),
            logged_parent: None,
            seeds_read: Duration::ZERO,
            settings,
            load_settings,
        }
    }

    /// Serves until a stop has been obeyed.
    pub async fn serve(mut self, mut commands: UnboundedReceiver<ProcessSignal>) {
        self.tick();
        while !self.ending.is_over() {
            let wake_up = self.wake_up();
            tokio::select! {
                Some(event) = self.events.recv() => self.peer_events(event),
                () = self.datagrams.readable() => self.receive_datagrams(),
                Some(command) = commands.recv() => self.obey(command),
                () = sleep_until(wake_up) => {}
            }
            self.tick();
        }
        info!("agent ends");
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns when a state machine has something to do, on the grid of timers.
    fn wake_up(&self) -> Instant {
        let due = [
            self.node.next_tick(),
            self.monitor.next_tick(),
            self.search.next_tick(),
            self.ending.next_tick(),
            self.now() + SEEDS_AGAIN,
        ];
        let due = due.into_iter().min().unwrap_or_default().max(self.now());
        let steps = due.as_millis() / TIMER_GRID.as_millis() + 1;
        self.started + TIMER_GRID * u32::try_from(steps).unwrap_or(u32::MAX)
    }

    /// Does what is due.
    fn tick(&mut self) {
        let now = self.now();
        if now >= self.node.next_tick() {
            self.tell_node(feed::Event::Tick);
        }
        if now >= self.monitor.next_tick() {
            self.tell_monitor(membership::Event::Tick);
        }
        self.review_neighbourhood();
        if now >= self.search.next_tick() {
            self.tell_search(search::Event::Tick);
        }
        self.read_seeds_again();
        self.check_ending();
    }

    fn receive_datagrams(&mut self) {
        while let Some((body, from)) = self.datagrams.receive() {
            self.tell_monitor(membership::Event::Received(body, from));
        }
    }

    fn tell_monitor(&mut self, event: membership::Event) {
        let mut actions = Vec::new();
        self.monitor.handle(self.now(), event, &mut actions);
        for action in actions {
            match action {
                membership::Action::Send(to, body) => self.datagrams.send(to, &body),
                membership::Action::SuspectsChanged(suspects) => self.report_suspects(suspects),
            }
        }
    }

    fn report_suspects(&mut self, suspects: Vec<String>) {
        match suspects.is_empty() {
            true => info!("all monitored peers answer"),
            false => info!("peers that do not answer: {}", suspects.join(", ")),
        }
        self.local.set_suspects(suspects);
        self.report_local();
    }

    fn obey(&mut self, command: ProcessSignal) {
        match command {
            ProcessSignal::Shutdown => {
                let mut actions = Vec::new();
                self.ending.stop(self.now(), &mut actions);
                actions.into_iter().for_each(|action| self.do_for_ending(action));
            }
            ProcessSignal::Reload => self.read_seeds(),
        }
    }

    fn read_seeds_again(&mut self) {
        let now = self.now();
        let Some(since) = self.search.searching_since() else { return };
        if now >= self.seeds_read.max(since) + SEEDS_AGAIN {
            warn!("no source of published state for {} s", (now - since).as_secs());
            self.read_seeds();
        }
    }

    fn read_seeds(&mut self) {
        self.seeds_read = self.now();
        match (self.load_settings)() {
            Ok(settings) => {
                self.neighbourhood.set_seeds(&settings);
                self.neighbours_changed = true;
            }
            Err(error) => warn!("the settings stay as they were: {error}"),
        }
    }

    fn check_ending(&mut self) {
        let mut actions = Vec::new();
        self.ending.check(self.now(), self.children.has_proxy(), &mut actions);
        actions.into_iter().for_each(|action| self.do_for_ending(action));
    }

    fn do_for_ending(&mut self, action: ending::Action) {
        match action {
            ending::Action::StopListening => {
                info!("told to end");
                self.peers.stop_listening();
            }
            ending::Action::CloseAgents => {
                for link in self.children.agents() {
                    self.children.remove(link);
                    self.peers.close(link);
                    self.tell_node(feed::Event::ChildDown(link));
                }
            }
            ending::Action::End => {}
        }
    }
}

fn hello(settings: &Settings) -> Hello {
    Hello {
        kind: PeerKind::Agent,
        node: NodeId::new(settings.ip, fastrand::u64(1..)),
        name: settings.node_name.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        control_address: String::new(),
    }
}
