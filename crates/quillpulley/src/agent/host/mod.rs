//! The event loop of an agent: passes events to the state machines and performs their actions.

mod links;
mod staleness;
mod tree;

use crate::agent::children::Children;
use crate::agent::datagrams::Datagrams;
use crate::agent::drain::{self, AgentDrain};
use crate::agent::local_state::LocalState;
use crate::agent::parent_links::ParentLinks;
use crate::agent::parent_search::{self, ParentSearch};
use crate::agent::peer_directory::PeerDirectory;
use crate::agent::AgentSockets;
use crate::lag::LagMonitor;
use crate::peer::{LinkId, PeerEvent, PeerOptions, Peers};
use crate::settings_watch::{LoadSettings, Section, SettingsWatch};
use crate::signals::ProcessSignal;
use crate::Settings;
use log::{info, warn};
use quillpulley_membership::{self as membership, Monitor, MonitorOptions};
use quillpulley_protocol::{Hello, NodeId, PeerKind};
use quillpulley_state_sync::parent_selection::ParentCandidate;
use quillpulley_state_sync::{self as state_sync, SyncNode};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{sleep_until, Instant};

/// Timers are rounded up to the next multiple of this interval, so that one wake-up can handle several of them.
const TIMER_GRANULARITY: Duration = Duration::from_millis(25);
/// The sections of the settings that a running agent applies.
const APPLIED_SECTIONS: [Section; 2] = [Section::Seeds, Section::Bounds];
/// How often the settings file is read without a SIGHUP.
const SETTINGS_READ_INTERVAL: Duration = Duration::from_secs(3);
/// The maximum number of incoming links: enough for the children in the relay tree, and for some more that are changing
/// their parent.
const MAX_CHILDREN: usize = 128;

/// The event loop of an agent, with its state machines and sockets.
pub struct Host {
    started_at: Instant,
    settings: SettingsWatch,
    load_settings: LoadSettings,
    peers: Rc<Peers>,
    events: UnboundedReceiver<PeerEvent>,
    datagrams: Datagrams,
    node: SyncNode<LinkId>,
    monitor: Monitor,
    parent_search: ParentSearch,
    drain: AgentDrain,
    parents: ParentLinks,
    children: Children,
    local_state: LocalState,
    peer_directory: PeerDirectory,
    /// Whether published items or seeds have changed since the peer directory was last read.
    directory_changed: bool,
    /// The candidates that had a penalty when the list of candidates was last updated.
    failed_candidates: Vec<ParentCandidate>,
    /// The parent that was last logged, so that each change of the parent is logged once.
    logged_parent: Option<ParentCandidate>,
    /// Follows the age of the published state, for the log.
    staleness: LagMonitor,
}

impl Host {
    /// Creates an agent, and starts to accept connections from children.
    pub fn start(settings: Settings, sockets: AgentSockets, load_settings: LoadSettings) -> Host {
        let options = PeerOptions { max_incoming: MAX_CHILDREN, ..PeerOptions::default() };
        let (peers, events) = Peers::with_options(hello(&settings), options);
        peers.listen(sockets.agents);
        peers.listen(sockets.proxy);
        let mut peer_directory = PeerDirectory::default();
        peer_directory.set_seeds(&settings);
        let sync_options =
            state_sync::Options::new(&settings.node_name).with_link_mbps(settings.limits.link_mbps);
        Host {
            started_at: Instant::now(),
            peers,
            events,
            datagrams: Datagrams::new(sockets.datagrams),
            node: SyncNode::new(sync_options),
            monitor: Monitor::new(MonitorOptions::new(&settings.node_name, fastrand::u64(..))),
            parent_search: ParentSearch::new(fastrand::u64(..)),
            drain: AgentDrain::new(settings.bounds.grace),
            parents: ParentLinks::default(),
            children: Children::default(),
            local_state: LocalState::default(),
            peer_directory,
            directory_changed: true,
            failed_candidates: Vec::new(),
            logged_parent: None,
            staleness: LagMonitor::default(),
            settings: SettingsWatch::new(Duration::ZERO, settings, &APPLIED_SECTIONS, SETTINGS_READ_INTERVAL),
            load_settings,
        }
    }

    /// Runs the event loop until the drain has finished.
    pub async fn serve(mut self, mut signals: UnboundedReceiver<ProcessSignal>) {
        self.tick();
        while !self.drain.is_finished() {
            let next_wake = self.next_wake();
            tokio::select! {
                Some(event) = self.events.recv() => self.handle_peer_events(event),
                () = self.datagrams.readable() => self.receive_datagrams(),
                Some(signal) = signals.recv() => self.handle_signal(signal),
                () = sleep_until(next_wake) => {}
            }
            self.tick();
        }
        info!("agent stopped");
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Returns when the next timer of any state machine is due, rounded up to [`TIMER_GRANULARITY`].
    fn next_wake(&self) -> Instant {
        let due = [
            self.node.next_tick(),
            self.monitor.next_tick(),
            self.parent_search.next_tick(),
            self.drain.next_tick(),
            self.staleness.next_report(),
            self.settings.next_reading(),
        ];
        let due = due.into_iter().min().unwrap_or_default().max(self.now());
        let steps = due.as_millis() / TIMER_GRANULARITY.as_millis() + 1;
        self.started_at + TIMER_GRANULARITY * u32::try_from(steps).unwrap_or(u32::MAX)
    }

    /// Handles all timers that are due.
    fn tick(&mut self) {
        let now = self.now();
        if now >= self.node.next_tick() {
            self.handle_sync(state_sync::Event::Tick);
        }
        if now >= self.monitor.next_tick() {
            self.handle_membership(membership::Event::Tick);
        }
        self.refresh_directory();
        if now >= self.parent_search.next_tick() {
            self.handle_parent_search(parent_search::Event::Tick);
        }
        self.report_staleness();
        self.reload_settings_if_due();
        self.update_drain();
    }

    fn receive_datagrams(&mut self) {
        while let Some((body, from)) = self.datagrams.receive() {
            self.handle_membership(membership::Event::Received(body, from));
        }
    }

    fn handle_membership(&mut self, event: membership::Event) {
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
            true => info!("all monitored peers are responding"),
            false => info!(suspects:? = suspects; "monitored peers are not responding"),
        }
        self.local_state.set_suspects(suspects);
        self.report_local();
    }

    fn handle_signal(&mut self, signal: ProcessSignal) {
        match signal {
            ProcessSignal::Shutdown => {
                let mut actions = Vec::new();
                self.drain.begin(self.now(), &mut actions);
                actions.into_iter().for_each(|action| self.perform_drain(action));
            }
            ProcessSignal::Reload => self.reload_settings(),
        }
    }

    fn reload_settings_if_due(&mut self) {
        let now = self.now();
        if now < self.settings.next_reading() {
            return;
        }
        let searching_for = self.parent_search.searching_since().map(|since| now.saturating_sub(since));
        if let Some(time) = searching_for.filter(|time| *time >= SETTINGS_READ_INTERVAL) {
            warn!(seconds = time.as_secs(); "no parent found that sends current published state; reloading the seeds");
        }
        self.reload_settings();
    }

    fn reload_settings(&mut self) {
        let now = self.now();
        if self.settings.update(now, (self.load_settings)()) {
            self.peer_directory.set_seeds(self.settings.settings());
            self.directory_changed = true;
            self.drain.set_grace(self.settings.settings().bounds.grace);
        }
    }

    fn update_drain(&mut self) {
        let mut actions = Vec::new();
        self.drain.update(self.now(), self.children.has_proxy(), &mut actions);
        actions.into_iter().for_each(|action| self.perform_drain(action));
    }

    fn perform_drain(&mut self, action: drain::Action) {
        match action {
            drain::Action::StopListening => {
                info!("SIGTERM received, draining");
                self.peers.stop_listening();
            }
            drain::Action::CloseChildAgents => {
                for link in self.children.agents() {
                    self.children.remove(link);
                    self.peers.close(link);
                    self.handle_sync(state_sync::Event::ChildDown(link));
                }
            }
            drain::Action::Exit => {}
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
