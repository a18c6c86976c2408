//! The main thread of a core process: it owns all state, and all that happens comes to it as events.
//!
//! After each event [`Host::settle`] brings everything in line with the new state: the leadership of the primary,
//! the place in the relay tree, what is published, orders, answers, the directory and the links.

use super::api::{ApiCall, Call, Reply};
use super::clock::Clock;
use super::directory::DirectoryBoard;
use super::directory_view::{DirectoryView, Known};
use super::disk::{Disk, Stored};
use super::fetcher::{Fetched, Fetcher};
use super::leadership::Leadership;
use super::orders::{Answer, Orders};
use super::peer_table::PeerTable;
use super::platform::Reading;
use super::reader::{ListReader, Outcome, ReaderOptions};
use super::relay::Relay;
use super::status;
use super::timed_answer::TimedAnswer;
use crate::peer::{LinkId, Peers};
use crate::Settings;
use quillpulley_configuration::ControlState;
use quillpulley_feed::FeedNode;
use quillpulley_replication::{Action, Event, Replica};
use quillpulley_wire::{Core, NodeId};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How often the platform's list is read, if its rate allows it.
const READING_INTERVAL: Duration = Duration::from_millis(400);
/// A process that is in no view and reaches no other reads the seeds in its settings file anew after this
/// time.
const SEEDS_AGAIN_AFTER: Duration = Duration::from_secs(3);

/// A child in the relay tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Child {
    /// Another core process: it gets its frames on the link that this process opened.
    Core(NodeId),
    /// An agent, on the link that it opened.
    Agent(LinkId),
}

/// What a host is made of.
pub struct Parts {
    /// The time since the start of the process.
    pub clock: Clock,
    /// The identity of this process.
    pub me: NodeId,
    /// The links to other processes.
    pub peers: Rc<Peers>,
    /// The replica of the control state.
    pub replica: Replica<ControlState>,
    /// The thread that writes to the disk.
    pub disk: Disk,
    /// The thread that reads the platform's list, if there is one.
    pub fetcher: Option<Fetcher>,
    /// What the directory tells.
    pub directory: DirectoryBoard,
}

/// What has changed since it was last acted upon.
#[derive(Default)]
pub(super) struct Dirty {
    /// The committed state.
    pub state: bool,
    /// The known core processes.
    pub cores: bool,
    /// The reports of the subtree.
    pub reports: bool,
    /// What the directory tells.
    pub directory: bool,
}

/// The state of a core process.
pub struct Host {
    pub(super) clock: Clock,
    pub(super) me: NodeId,
    pub(super) settings: Settings,
    pub(super) peers: Rc<Peers>,
    pub(super) replica: Replica<ControlState>,
    disk: Disk,
    fetcher: Option<Fetcher>,
    directory: DirectoryBoard,
    pub(super) directory_view: DirectoryView,
    pub(super) peer_table: PeerTable<LinkId>,
    pub(super) told_cores: Vec<u32>,
    pub(super) agents: BTreeSet<LinkId>,
    pub(super) feed: FeedNode<Child>,
    pub(super) relay: Relay,
    pub(super) orders: Orders<Reply>,
    pub(super) reader: ListReader,
    /// While this process is the primary and holds the lease.
    pub(super) leadership: Option<Leadership>,
    pub(super) dirty: Dirty,
    isolated_since: Duration,
    /// How many entries of the platform's list could not be read last time.
    unreadable_entries: usize,
}

impl Host {
    /// A host that has heard of nothing yet.
    pub fn new(settings: Settings, parts: Parts) -> Self {
        let now = parts.clock.now();
        let rate_per_s = settings.cloud.as_ref().map_or(0.0, |cloud| cloud.rate_per_s);
        let mut host = Host {
            peer_table: PeerTable::new(settings.ip),
            feed: FeedNode::new(quillpulley_feed::Options::core(&settings.node_name)),
            reader: ListReader::new(ReaderOptions { interval: READING_INTERVAL, rate_per_s }),
            settings,
            clock: parts.clock,
            me: parts.me,
            peers: parts.peers,
            replica: parts.replica,
            disk: parts.disk,
            fetcher: parts.fetcher,
            directory: parts.directory,
            directory_view: DirectoryView::default(),
            told_cores: Vec::new(),
            agents: BTreeSet::new(),
            relay: Relay::default(),
            orders: Orders::default(),
            leadership: None,
            dirty: Dirty::default(),
            isolated_since: now,
            unreadable_entries: 0,
        };
        host.learn_cores(now);
        host.settle();
        host
    }

    /// The disk has finished a write.
    pub fn stored(&mut self, stored: Stored) {
        self.replicate(Event::Stored { ticket: stored.ticket, result: stored.result });
        self.settle();
    }

    /// The operator calls.
    pub fn called(&mut self, call: ApiCall) {
        let now = self.clock.now();
        self.update_leadership(now);
        match (self.replica.lease_until(now), call.call) {
            (_, Call::ReadStatus) => call.reply.send(self.status(now)),
            (None, _) => call.reply.send(self.elsewhere(now)),
            (Some(_), Call::Order(order)) => self.orders.push(now, order, call.reply),
            (Some(lease_end), Call::ReadConfiguration) => {
                call.reply.send(TimedAnswer::until(lease_end, self.configuration()));
            }
        }
        self.settle();
    }

    /// A page of the platform's list has come, or has not.
    pub fn fetched(&mut self, fetched: Fetched) {
        let now = self.clock.now();
        self.update_leadership(now);
        let published = self.leadership.as_ref().map_or(0, |leadership| leadership.publisher.server_count());
        match self.reader.fetched(now, self.leadership.is_some(), published, fetched) {
            Outcome::Nothing => {}
            Outcome::Fetch(fetch) => self.fetch(Some(fetch)),
            Outcome::Complete(reading) => {
                self.log_unreadable(&reading);
                self.publish_list(now, reading);
            }
            Outcome::Failed { error, first: true } => log::warn!("the platform's list was not read: {error}"),
            Outcome::Failed { error, first: false } => {
                log::debug!("the platform's list was not read: {error}")
            }
        }
        self.settle();
    }

    fn log_unreadable(&mut self, reading: &Reading) {
        let unreadable = &reading.unreadable;
        if unreadable.len() != self.unreadable_entries {
            self.unreadable_entries = unreadable.len();
            log::warn!("{} entries of the platform's list are passed over: {unreadable:?}", unreadable.len());
        }
    }

    /// Time has passed; to be called every 50 ms.
    pub fn tick(&mut self) {
        let now = self.clock.now();
        self.replicate(Event::Tick);
        self.update_leadership(now);
        self.feed_event(quillpulley_feed::Event::Tick);
        self.orders.expire(now);
        self.tick_leadership(now);
        if self.fetcher.is_some() {
            let due = self.reader.tick(now, self.leadership.is_some());
            self.fetch(due);
        }
        self.dirty.directory |= self.directory_view.is_waiting(self.feed.is_fresh(now));
        self.forget_cores(now);
        self.read_seeds_if_isolated(now);
        self.settle();
    }

    /// The process is about to end: hands over what it leads.
    pub fn stop(&mut self) {
        self.replicate(Event::Stop);
        self.settle();
    }

    /// Whether a process that was told to stop may end: its data stands elsewhere.
    pub fn may_end(&self) -> bool {
        self.replica.may_end()
    }

    /// How long after it was told to end the process is killed.
    pub fn grace(&self) -> Duration {
        self.settings.bounds.grace
    }

    /// Reads the seeds in the settings file anew.
    pub fn read_seeds(&mut self) {
        match Settings::from_environment() {
            Ok(settings) => self.settings.seeds = settings.seeds,
            Err(error) => log::warn!("the seeds stay as they were: {error}"),
        }
        self.learn_cores(self.clock.now());
        self.settle();
    }

    fn read_seeds_if_isolated(&mut self, now: Duration) {
        let isolated = self.replica.view().is_none() && self.peer_table.connected().next().is_none();
        if !isolated {
            self.isolated_since = now;
        } else if now >= self.isolated_since + SEEDS_AGAIN_AFTER {
            self.isolated_since = now;
            self.read_seeds();
        }
    }

    fn fetch(&mut self, fetch: Option<super::reader::Fetch>) {
        if let (Some(fetcher), Some(fetch)) = (&self.fetcher, fetch) {
            fetcher.fetch(fetch);
        }
    }

    fn configuration(&self) -> Answer {
        let body = self.replica.state().body();
        body.map_or(Answer::NoConfiguration, |body| Answer::Configuration(body.to_vec()))
    }

    /// What this process knows of the core, for as long as it knows a primary.
    fn status(&self, now: Duration) -> TimedAnswer {
        let answer = Answer::Status(status::describe(self, now));
        match self.replica.primary_until(now) {
            Some((_, until)) => TimedAnswer::until(until, answer),
            None => TimedAnswer::lasting(answer),
        }
    }

    /// Where a caller should go instead, for as long as that primary's lease is known to run here.
    pub(super) fn elsewhere(&self, now: Duration) -> TimedAnswer {
        let primary = self.replica.primary_until(now).filter(|(primary, _)| *primary != self.me);
        let port = self.settings.listen.control.map(|address| address.port());
        match (primary, port) {
            (Some((primary, until)), Some(port)) => {
                let address = SocketAddr::from((primary.address(), port));
                TimedAnswer::until(until, Answer::Redirect(address))
            }
            _ => TimedAnswer::lasting(Answer::Unavailable),
        }
    }

    /// Has the replica take an event, and does what it asks for.
    pub(super) fn replicate(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.replica.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send { to, body } => {
                if let Some(link) = self.peer_table.link_to(to) {
                    self.peers.send(link, &body);
                }
            }
            Action::Store { ticket, write } => self.disk.store(ticket, write),
            Action::Applied { .. } => self.dirty.state = true,
            Action::Committed { order } => self.committed(order),
            Action::Rejected { order, .. } => self.orders.failed(order),
            // The leadership follows the role and the lease at every moment; the replica itself logs its roles.
            Action::RoleChanged(_) => {}
        }
    }

    fn committed(&mut self, order: u64) {
        let lease_end = self.replica.lease_until(self.clock.now());
        self.orders.committed(order, self.replica.state(), lease_end.is_some());
        self.send_answers(lease_end.unwrap_or_default());
    }

    /// Brings everything in line with what has happened.
    pub(super) fn settle(&mut self) {
        let now = self.clock.now();
        self.update_leadership(now);
        self.update_parent(now);
        self.publish_changes(now);
        self.propose_orders();
        // Without a lease nothing that is left can be clear.
        self.send_answers(Duration::ZERO);
        self.show_directory(now);
        self.dial(now);
    }

    fn propose_orders(&mut self) {
        while let Some(lease_end) = self.replica.lease_until(self.clock.now()) {
            let proposal = self.orders.next_for(&self.replica);
            self.send_answers(lease_end);
            let Some(proposal) = proposal else { return };
            self.replicate(Event::Propose { order: proposal.order, payload: proposal.payload });
        }
    }

    /// Sends the answers that were decided under a lease that ends at `lease_end`.
    pub(super) fn send_answers(&mut self, lease_end: Duration) {
        for (reply, answer) in self.orders.take_answers() {
            reply.send(TimedAnswer::until(lease_end, answer));
        }
    }

    fn show_directory(&mut self, now: Duration) {
        if std::mem::take(&mut self.dirty.directory) {
            let known = Known::at(now, &self.feed);
            self.directory.set(self.directory_view.directory(now, &known));
        }
    }

    /// The core processes that agents should know.
    pub(super) fn known_cores(&self) -> Vec<Core> {
        let own =
            Core { ip: self.me.ip, zone: self.settings.zone.clone(), region: self.settings.region.clone() };
        let others = self.peer_table.known().map(|hello| Core {
            ip: hello.node.ip,
            zone: hello.zone.clone(),
            region: hello.region.clone(),
        });
        std::iter::once(own).chain(others).collect()
    }
}
