//! How long a front that is gone is still told by directories, in virtual time: three core processes in three
//! regions, each with two agents, the real relay tree, publisher and view, and no monitors at all. What takes a
//! front out of the answers here is silence alone; monitors only make it sooner.

use quillpulley::control::directory::{Coverage, Directory};
use quillpulley::control::directory_view::{DirectoryView, Known};
use quillpulley::control::fronts::PublishedFronts;
use quillpulley_feed::{Action, Event, FeedNode, LocalReport, Options};
use quillpulley_wire::{Body, Front, FrontState};
use std::collections::VecDeque;
use std::time::Duration;

const CORES: usize = 3;
const AGENTS: usize = 6;
/// How often processes look at what time has changed.
const TICK: Duration = Duration::from_millis(50);
const STAMP_EVERY: Duration = Duration::from_millis(200);
/// An agent without news for so long tries another parent.
const SEARCH_AFTER: Duration = Duration::from_secs(1);

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn agent(number: usize) -> usize {
    CORES + number
}

fn name(number: usize) -> String {
    format!("front-{number}")
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Running,
    /// Frozen or without power: its links say nothing.
    Silent,
    /// Killed: its links are closed.
    Ended,
}

struct Node {
    feed: FeedNode<usize>,
    state: State,
    region: usize,
    parent: Option<usize>,
    parent_since: Duration,
    /// Of core processes.
    view: DirectoryView,
    directory: Directory,
    dirty: bool,
    reports_dirty: bool,
    publisher: Option<PublishedFronts>,
    stamped: Duration,
}

impl Node {
    fn new(number: usize, now: Duration) -> Self {
        let (region, options) = match number.checked_sub(CORES) {
            None => (number, Options::core(&format!("core-{number}"))),
            Some(agent) => (agent / 2, Options::new(&name(agent))),
        };
        Node {
            feed: FeedNode::new(options),
            state: State::Running,
            region,
            parent: None,
            parent_since: now,
            view: DirectoryView::default(),
            directory: Directory::default(),
            dirty: true,
            reports_dirty: true,
            publisher: None,
            stamped: now,
        }
    }
}

struct System {
    now: Duration,
    nodes: Vec<Node>,
    queue: VecDeque<(usize, Event<usize>)>,
    cut: Option<usize>,
    epoch: u64,
}

impl System {
    /// All are up and known everywhere; the primary is the core process of region 0.
    fn settled() -> Self {
        let now = Duration::ZERO;
        let nodes = (0..CORES + AGENTS).map(|number| Node::new(number, now)).collect();
        let mut system = System { now, nodes, queue: VecDeque::new(), cut: None, epoch: 0 };
        system.elect(0);
        (0..AGENTS).for_each(|number| system.report(number, FrontState::Ready, 1));
        system.run(ms(10_000));
        let told: Vec<Vec<String>> = (0..CORES).map(|core| system.told(core)).collect();
        assert!(told.iter().all(|told| told.len() == AGENTS), "all are known: {told:?}");
        system
    }

    fn reaches(&self, one: usize, other: usize) -> bool {
        let is_cut = |node: usize| Some(self.nodes[node].region) == self.cut;
        let run = [one, other].iter().all(|node| self.nodes[*node].state == State::Running);
        run && is_cut(one) == is_cut(other)
    }

    fn report(&mut self, number: usize, state: FrontState, life: u64) {
        let node = agent(number);
        let region = format!("region-{}", self.nodes[node].region);
        let front = Front {
            name: name(number),
            ip: number as u32,
            zone: region.clone(),
            region,
            address: name(number),
            state,
            life,
            preferred_regions: Vec::new(),
        };
        let report = LocalReport { front: Some(front), proxies: 1, ..LocalReport::default() };
        self.event(node, Event::LocalReport(report));
    }

    fn elect(&mut self, core: usize) {
        for other in 0..CORES {
            if self.nodes[other].publisher.take().is_some() && self.nodes[other].state == State::Running {
                self.event(other, Event::LeaveRoot);
            }
        }
        self.epoch += 1;
        let node = &mut self.nodes[core];
        node.publisher = Some(PublishedFronts::inherit(self.now, node.feed.store().iter()));
        node.reports_dirty = true;
        node.parent = None;
        self.event(core, Event::BecomeRoot { epoch: self.epoch });
        self.event(core, Event::Stamp);
    }

    fn primary(&self) -> Option<usize> {
        (0..CORES).find(|core| self.nodes[*core].publisher.is_some())
    }

    fn fail(&mut self, node: usize, state: State) {
        self.nodes[node].state = state;
        if state == State::Ended {
            for other in 0..self.nodes.len() {
                if self.nodes[other].parent == Some(node) {
                    self.nodes[other].parent = None;
                    self.event(other, Event::ParentDown);
                }
                self.event(other, Event::ChildDown(node));
            }
        }
    }

    /// What a cut held up is lost: the links across it are made anew.
    fn heal(&mut self) {
        let Some(region) = self.cut else { return };
        for node in 0..self.nodes.len() {
            let across = |parent: &usize| {
                (self.nodes[node].region == region) != (self.nodes[*parent].region == region)
            };
            if let Some(parent) = self.nodes[node].parent.filter(across) {
                self.nodes[node].parent = None;
                self.event(parent, Event::ChildDown(node));
                self.event(node, Event::ParentDown);
            }
        }
        self.cut = None;
    }

    /// A process starts anew and knows nothing.
    fn restart(&mut self, node: usize) {
        self.fail(node, State::Ended);
        self.nodes[node] = Node::new(node, self.now);
        if node >= CORES {
            self.report(node - CORES, FrontState::Ready, 2 + self.now.as_millis() as u64);
        }
    }

    fn event(&mut self, node: usize, event: Event<usize>) {
        self.queue.push_back((node, event));
        while let Some((node, event)) = self.queue.pop_front() {
            if self.nodes[node].state != State::Running {
                continue;
            }
            let mut actions = Vec::new();
            self.nodes[node].feed.handle(self.now, event, &mut actions);
            actions.into_iter().for_each(|action| self.perform(node, action));
        }
    }

    fn perform(&mut self, node: usize, action: Action<usize>) {
        match action {
            Action::SendParent(body) => self.send_parent(node, body),
            Action::SendChild(child, body) => self.send_child(node, child, body),
            Action::SendChildren(children, body) => {
                children.into_iter().for_each(|child| self.send_child(node, child, body.clone()));
            }
            Action::DropChild(child) => {
                if self.nodes[child].parent == Some(node) {
                    self.nodes[child].parent = None;
                    self.queue.push_back((child, Event::ParentDown));
                }
            }
            Action::Changed(changed) => {
                let node = &mut self.nodes[node];
                node.dirty |= node.view.published(&changed);
            }
            Action::FrontsChanged => {
                self.nodes[node].dirty = true;
                self.nodes[node].reports_dirty = true;
            }
            Action::TotalsChanged => {}
        }
    }

    fn send_parent(&mut self, node: usize, body: Body) {
        if let Some(parent) = self.nodes[node].parent.filter(|parent| self.reaches(node, *parent)) {
            self.queue.push_back((parent, Event::ChildFrame(node, body)));
        }
    }

    fn send_child(&mut self, node: usize, child: usize, body: Body) {
        if self.nodes[child].parent == Some(node) && self.reaches(node, child) {
            self.queue.push_back((child, Event::ParentFrame(body)));
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            for node in 0..self.nodes.len() {
                if self.nodes[node].state == State::Running {
                    self.find_parent(node);
                    self.event(node, Event::Tick);
                    self.publish(node);
                }
            }
            (0..CORES).for_each(|core| self.show(core));
        }
    }

    /// Core processes follow the primary; agents the core process of their region, or in turn the others.
    fn find_parent(&mut self, node: usize) {
        let current = self.nodes[node].parent;
        let lately = self.now < self.nodes[node].parent_since + SEARCH_AFTER;
        let fresh = self.nodes[node].feed.is_fresh(self.now);
        let candidate = if node < CORES {
            self.primary().filter(|primary| *primary != node && !self.nodes[node].feed.is_root())
        } else if current.is_some() && (fresh || lately) {
            current
        } else {
            let first = current.map_or(self.nodes[node].region, |current| current + 1);
            (first..first + CORES).map(|core| core % CORES).find(|core| self.reaches(node, *core))
        };
        let is_asked_again = node < CORES && !fresh && !lately;
        if candidate == current && !is_asked_again {
            return;
        }
        if let Some(parent) = current.filter(|parent| Some(*parent) != candidate) {
            self.event(parent, Event::ChildDown(node));
        }
        self.nodes[node].parent = candidate;
        self.nodes[node].parent_since = self.now;
        if let Some(parent) = candidate.filter(|parent| self.reaches(node, *parent)) {
            self.event(parent, Event::ChildUp(node));
            self.event(node, Event::ParentUp);
        }
    }

    fn publish(&mut self, core: usize) {
        let now = self.now;
        let node = &mut self.nodes[core];
        let Some(publisher) = &mut node.publisher else { return };
        let changes = if std::mem::take(&mut node.reports_dirty) {
            publisher.update(now, node.feed.subtree())
        } else {
            publisher.tick(now)
        };
        if !changes.is_empty() {
            self.event(core, Event::Publish(changes));
        } else if now >= node.stamped + STAMP_EVERY {
            node.stamped = now;
            self.event(core, Event::Stamp);
        }
    }

    fn show(&mut self, core: usize) {
        let now = self.now;
        let node = &mut self.nodes[core];
        let waiting = node.view.is_waiting(node.feed.is_fresh(now));
        if node.state == State::Running && (std::mem::take(&mut node.dirty) || waiting) {
            node.directory = node.view.directory(now, &Known::at(now, &node.feed));
        }
    }

    /// The fronts that the directory of a core process may tell, with those that leave in brackets.
    fn told(&self, core: usize) -> Vec<String> {
        let directory = &self.nodes[core].directory;
        if self.nodes[core].state != State::Running || directory.coverage == Coverage::TooFew {
            return Vec::new();
        }
        let shown = directory.fronts.iter().map(|front| match front.state {
            FrontState::Leaving => format!("({})", front.name),
            FrontState::Starting | FrontState::Ready => front.name.clone(),
        });
        shown.collect()
    }

    fn is_told_by(&self, number: usize, cores: &[usize]) -> bool {
        cores.iter().any(|core| self.told(*core).contains(&name(number)))
    }

    /// How long these directories go on telling any of these fronts.
    fn time_until_untold(&mut self, numbers: &[usize], cores: &[usize]) -> u128 {
        let (start, mut last) = (self.now, self.now);
        for _ in 0..400 {
            self.run(TICK);
            if numbers.iter().any(|number| self.is_told_by(*number, cores)) {
                last = self.now;
            }
        }
        (last - start).as_millis()
    }
}

/// The time for reports of an agent and of its core process to reach the primary.
const REPORTED: Duration = Duration::from_millis(650);

const ALL: [usize; CORES] = [0, 1, 2];

#[track_caller]
fn assert_within(time: u128, from: u128, to: u128) {
    assert!((from..=to).contains(&time), "{time} ms is not from {from} to {to}");
}

#[test]
fn a_killed_front_is_told_for_a_second() {
    let mut system = System::settled();
    system.fail(agent(3), State::Ended);
    assert_within(system.time_until_untold(&[3], &ALL), 900, 1_100);
}

#[test]
fn a_frozen_front_without_monitors_is_told_for_two_and_a_half_seconds() {
    let mut system = System::settled();
    system.fail(agent(3), State::Silent);
    assert_within(system.time_until_untold(&[3], &ALL), 1_800, 2_700);
}

#[test]
fn the_fronts_of_a_lost_region_are_told_for_two_and_a_half_seconds() {
    let mut system = System::settled();
    [1, agent(2), agent(3)].into_iter().for_each(|node| system.fail(node, State::Silent));
    assert_within(system.time_until_untold(&[2, 3], &[0, 2]), 1_800, 2_700);
    assert_eq!(system.told(0).len(), AGENTS - 2);
}

#[test]
fn fronts_lost_with_the_primary_are_told_until_three_seconds_after_the_election() {
    let mut system = System::settled();
    [0, agent(0), agent(1)].into_iter().for_each(|node| system.fail(node, State::Silent));
    system.run(ms(2_000));
    system.elect(1);
    assert_within(system.time_until_untold(&[0, 1], &[1, 2]), 2_800, 3_100);
    assert_eq!(system.told(2).len(), AGENTS - 2);
}

#[test]
fn without_a_primary_fronts_elsewhere_are_told_for_three_seconds() {
    let mut system = System::settled();
    system.cut = Some(2);
    assert_within(system.time_until_untold(&[0, 1, 2, 3], &[2]), 2_800, 3_100);
    assert_eq!(system.told(2), ["front-4", "front-5"], "it goes on with those that report to it");
    assert_eq!(system.told(0).len(), AGENTS - 2, "which the others do not tell any more");
    system.heal();
    system.run(ms(4_000));
    assert!(ALL.iter().all(|core| system.told(*core).len() == AGENTS));
}

#[test]
fn a_front_that_dies_in_a_region_that_is_cut_off_is_told_there_for_three_and_a_half_seconds() {
    for (state, from, to) in [(State::Ended, 1_800, 2_200), (State::Silent, 2_800, 3_700)] {
        let mut system = System::settled();
        system.cut = Some(2);
        system.run(ms(10_000));
        system.fail(agent(4), state);
        assert_within(system.time_until_untold(&[4], &[2]), from, to);
        system.fail(agent(5), state);
        system.time_until_untold(&[5], &[2]);
        assert!(system.told(2).is_empty(), "nobody reports: 503");
    }
}

#[test]
fn core_processes_that_were_all_killed_tell_no_front_that_died_with_them() {
    let mut system = System::settled();
    ALL.into_iter().for_each(|core| system.fail(core, State::Ended));
    system.nodes[0].publisher = None;
    system.fail(agent(3), State::Ended);
    system.run(ms(1_000));
    ALL.into_iter().for_each(|core| system.restart(core));
    system.run(ms(2_000));
    system.elect(1);
    assert_eq!(system.time_until_untold(&[3], &ALL), 0);
    assert!(ALL.iter().all(|core| system.told(*core).len() == AGENTS - 1));
}

#[test]
fn a_front_whose_agent_is_gone_comes_back_with_it() {
    let mut system = System::settled();
    system.fail(agent(3), State::Ended);
    system.run(ms(2_000));
    assert!(!system.is_told_by(3, &ALL));
    system.restart(agent(3));
    system.run(REPORTED);
    assert!(ALL.iter().all(|core| system.is_told_by(3, &[*core])));
}

#[test]
fn a_front_that_is_told_to_end_is_known_to_leave_within_two_reports() {
    for cut in [None, Some(1)] {
        let mut system = System::settled();
        system.cut = cut;
        system.run(ms(5_000));
        system.report(3, FrontState::Leaving, 1);
        system.run(REPORTED);
        assert!(system.told(1).contains(&"(front-3)".to_string()));
        assert!(!system.is_told_by(3, &ALL));
    }
}

/// The longest times for which a front that is gone may be told, and after an election or the beginning of a cut.
const BOUND: Duration = Duration::from_millis(3_700);
const AFTER_ELECTION_OR_CUT: Duration = Duration::from_millis(3_200);

/// What happens in a random run at most.
const MOST_STEPS: usize = 30;

/// Steps of a number for what happens, one for whom, and one for the time until the next.
fn play_random(steps: Vec<(u8, u8, u8)>) -> bool {
    let mut system = System::settled();
    let mut gone_since: [Option<Duration>; AGENTS] = [None; AGENTS];
    let mut disturbed = Duration::ZERO;
    for (what, whom, time) in steps.into_iter().take(MOST_STEPS) {
        let number = whom as usize % AGENTS;
        match what % 6 {
            0 => system.fail(agent(number), State::Ended),
            1 => system.fail(agent(number), State::Silent),
            2 | 3 => system.restart(agent(number)),
            4 if system.cut.is_some() => system.heal(),
            4 => {
                system.cut = Some(whom as usize % CORES);
                disturbed = system.now;
            }
            _ => {
                let core =
                    (0..CORES).find(|core| Some(*core) != system.cut && Some(*core) != system.primary());
                system.elect(core.unwrap_or(0));
                disturbed = system.now;
            }
        }
        for (number, since) in gone_since.iter_mut().enumerate() {
            let is_gone = system.nodes[agent(number)].state != State::Running;
            *since = is_gone.then(|| since.unwrap_or(system.now));
        }
        for _ in 0..time as usize % 60 {
            system.run(TICK);
            let settled = system.now > disturbed + AFTER_ELECTION_OR_CUT;
            let is_over = |since: &Duration| settled && system.now > *since + BOUND;
            let told_too_long = gone_since.iter().enumerate().any(|(number, since)| {
                since.as_ref().is_some_and(is_over) && system.is_told_by(number, &ALL)
            });
            if told_too_long {
                return false;
            }
        }
    }
    true
}

#[test]
fn whatever_happens_a_front_that_is_gone_is_soon_untold() {
    quickcheck::QuickCheck::new().quickcheck(play_random as fn(Vec<(u8, u8, u8)>) -> bool);
}
