//! Which process an agent takes published state from: a pure state machine.
//!
//! Candidates are ordered, best first. The search connects to the best that works. It goes on to another where
//! the link closes, or where the state's stamp stands still: then the new link is up before the old one is given
//! up. Once settled it looks every few seconds whether a better candidate works.

mod penalties;

use penalties::Penalties;
use quillpulley_state_sync::parent_selection::ParentCandidate;
use std::time::Duration;

/// How long a stamp may stand still, by what the parent is. Below an agent it is longer, so that those below a
/// parent that has to move wait for it.
const CONTROL_NODE_TIMEOUT: Duration = Duration::from_millis(1_000);
const AGENT_PATIENCE: Duration = Duration::from_millis(1_300);
/// Added to the above by chance, so that siblings do not move together.
const PATIENCE_JITTER: Duration = Duration::from_millis(200);
/// A candidate that does not open within this time is tried side by side with the next one.
const STAGGER: Duration = Duration::from_millis(250);
/// So many are tried side by side.
const MAXIMUM_ATTEMPTS: usize = 3;
/// The pause after a failure, which doubles up to the second figure, give or take a half.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(400);
/// Time between two looks for a better place, give or take a quarter.
const REVIEW: Duration = Duration::from_secs(3);
/// A parent whose stamps have moved for this long has no penalties left.
const PROVEN: Duration = Duration::from_secs(10);

/// What happens to a [`ParentSearch`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// All candidates, best first.
    Candidates(Vec<ParentCandidate>),
    /// The link to a candidate is up.
    Opened(ParentCandidate),
    /// The link to a candidate did not come up, or closed.
    Lost(ParentCandidate),
    /// The state's stamp has moved.
    RevisionMoved,
    /// Time has passed: wanted at [`ParentSearch::next_tick`], or a little later.
    Tick,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Begin to connect.
    Connect(ParentCandidate),
    /// Take the state from this link, which is open, and no longer from any other.
    Use(ParentCandidate),
    /// Close the link, or call off the connection.
    Close(ParentCandidate),
}

/// How the search stands.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
enum State {
    /// There is no parent, or its stamp stands still.
    Searching { since: Duration, next_connect: Duration },
    /// There is a parent, and its stamp moves, or has still time to.
    Settled { next_review: Duration },
}

#[derive(Copy, Clone, Debug)]
struct Parent {
    candidate: ParentCandidate,
    since: Duration,
    patience: Duration,
}

/// The search of one agent.
pub struct ParentSearch {
    state: State,
    candidates: Vec<ParentCandidate>,
    /// Links that were asked for and are not open yet.
    attempts: Vec<ParentCandidate>,
    parent: Option<Parent>,
    revision_moved: Duration,
    failures: u32,
    penalties: Penalties,
    random: fastrand::Rng,
}

impl ParentSearch {
    /// Creates a search without candidates, at the time of the host's start.
    pub fn new(seed: u64) -> ParentSearch {
        ParentSearch {
            state: State::Searching { since: Duration::ZERO, next_connect: Duration::ZERO },
            candidates: Vec::new(),
            attempts: Vec::new(),
            parent: None,
            revision_moved: Duration::ZERO,
            failures: 0,
            penalties: Penalties::default(),
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Takes an event at a time (since the host's start) and adds what follows from it to `actions`.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Candidates(candidates) => self.candidates = candidates,
            Event::Opened(candidate) => self.opened(now, candidate, actions),
            Event::Lost(candidate) => self.lost(now, candidate),
            Event::RevisionMoved => self.revision_moved(now, actions),
            Event::Tick => {}
        }
        self.check(now, actions);
    }

    /// Returns when an [`Event::Tick`] has something to do.
    pub fn next_tick(&self) -> Duration {
        match self.state {
            State::Searching { .. } if self.attempts.len() >= MAXIMUM_ATTEMPTS => Duration::MAX,
            State::Searching { next_connect, .. } => next_connect,
            State::Settled { next_review } => self.deadline().min(next_review),
        }
    }

    /// Returns the parent, which may have been found to stand still.
    pub fn parent(&self) -> Option<ParentCandidate> {
        self.parent.map(|parent| parent.candidate)
    }

    /// Since when there is no parent whose stamp moves.
    pub fn searching_since(&self) -> Option<Duration> {
        match self.state {
            State::Searching { since, .. } => Some(since),
            State::Settled { .. } => None,
        }
    }

    /// Returns the candidates that have failed lately.
    pub fn failed(&self, now: Duration) -> Vec<ParentCandidate> {
        self.penalties.running(now).collect()
    }

    fn opened(&mut self, now: Duration, candidate: ParentCandidate, actions: &mut Vec<Action>) {
        if !self.take_attempt(candidate) {
            return;
        }
        self.failures = 0;
        let settled_on = match self.state {
            State::Settled { .. } => self.parent,
            State::Searching { .. } => None,
        };
        if settled_on.is_some_and(|parent| !self.is_better(candidate, parent.candidate)) {
            actions.push(Action::Close(candidate));
            return;
        }
        self.move_to(now, candidate, actions);
    }

    fn move_to(&mut self, now: Duration, candidate: ParentCandidate, actions: &mut Vec<Action>) {
        actions.push(Action::Use(candidate));
        if let Some(old) = self.parent.take() {
            actions.push(Action::Close(old.candidate));
        }
        self.parent = Some(Parent { candidate, since: now, patience: self.patience(candidate) });
        self.settle(now, actions);
    }

    fn lost(&mut self, now: Duration, candidate: ParentCandidate) {
        if self.take_attempt(candidate) {
            self.penalties.add(now, candidate);
            self.failures = self.failures.saturating_add(1);
            self.try_next_after_pause(now);
        } else if self.parent() == Some(candidate) {
            self.parent = None;
            self.penalties.add(now, candidate);
            let next_connect = now + self.jitter(FIRST_PAUSE);
            self.search(now, next_connect);
        }
    }

    fn try_next_after_pause(&mut self, now: Duration) {
        let State::Searching { since, next_connect } = self.state else { return };
        let paused = now + self.pause();
        let next_connect = if self.attempts.is_empty() { paused } else { next_connect.min(paused) };
        self.change(State::Searching { since, next_connect });
    }

    fn revision_moved(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.revision_moved = now;
        let Some(parent) = self.parent else { return };
        match now.saturating_sub(parent.since) >= PROVEN {
            true => self.penalties.clear(parent.candidate),
            false => self.penalties.end(now, parent.candidate),
        }
        if let State::Searching { .. } = self.state {
            self.settle(now, actions);
        }
    }

    /// Does what is due.
    fn check(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if matches!(self.state, State::Settled { .. }) && now >= self.deadline() {
            let stands_still = self.parent.map(|parent| parent.candidate);
            stands_still.into_iter().for_each(|parent| self.penalties.add(now, parent));
            self.search(now, now);
        }
        match self.state {
            State::Searching { since, next_connect } if now >= next_connect => {
                let next_connect = now + self.try_next(now, actions);
                self.change(State::Searching { since, next_connect });
            }
            State::Settled { next_review } if now >= next_review => {
                self.try_better(now, actions);
                let next_review = now + self.around(REVIEW, 0.25);
                self.change(State::Settled { next_review });
            }
            _ => {}
        }
    }

    /// Connects to the best candidate that has no penalty, or else to the one whose penalty is over first.
    /// Returns the time until another may be tried.
    fn try_next(&mut self, now: Duration, actions: &mut Vec<Action>) -> Duration {
        if self.attempts.len() < MAXIMUM_ATTEMPTS {
            let untried = self.candidates.iter().copied().filter(|candidate| !self.is_tried(*candidate));
            let next = untried.min_by_key(|candidate| self.penalties.left(now, *candidate));
            next.into_iter().for_each(|candidate| self.connect(candidate, actions));
        }
        STAGGER
    }

    /// Connects to the best candidate without a penalty if it is better than the parent.
    fn try_better(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(parent) = self.parent else { return };
        let mut free = self.candidates.iter().filter(|c| self.penalties.left(now, **c).is_zero());
        let Some(best) = free.next().copied() else { return };
        if self.attempts.is_empty() && self.is_better(best, parent.candidate) {
            self.connect(best, actions);
        }
    }

    fn connect(&mut self, candidate: ParentCandidate, actions: &mut Vec<Action>) {
        self.attempts.push(candidate);
        actions.push(Action::Connect(candidate));
    }

    /// The parent is to be kept: attempts that would lead to no better one are called off.
    fn settle(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(parent) = self.parent else { return };
        let attempts = std::mem::take(&mut self.attempts);
        let (kept, worse) =
            attempts.into_iter().partition(|attempt| self.is_better(*attempt, parent.candidate));
        self.attempts = kept;
        actions.extend(worse.into_iter().map(Action::Close));
        let next_review = now + self.around(REVIEW, 0.25);
        self.change(State::Settled { next_review });
    }

    fn search(&mut self, now: Duration, next_connect: Duration) {
        let since = self.searching_since().unwrap_or(now);
        self.change(State::Searching { since, next_connect });
    }

    /// The one change of state.
    fn change(&mut self, next: State) {
        self.state = next;
    }

    /// Returns whether an attempt was under way; it is no longer.
    fn take_attempt(&mut self, candidate: ParentCandidate) -> bool {
        let attempts = self.attempts.len();
        self.attempts.retain(|attempt| *attempt != candidate);
        self.attempts.len() < attempts
    }

    fn is_tried(&self, candidate: ParentCandidate) -> bool {
        self.parent() == Some(candidate) || self.attempts.contains(&candidate)
    }

    /// Returns whether a candidate comes before another. One that is no longer a candidate comes last.
    fn is_better(&self, candidate: ParentCandidate, other: ParentCandidate) -> bool {
        self.rank(candidate) < self.rank(other)
    }

    fn rank(&self, candidate: ParentCandidate) -> usize {
        let rank = self.candidates.iter().position(|known| *known == candidate);
        rank.unwrap_or(usize::MAX)
    }

    /// Returns when the parent counts as standing still, if the stamp does not move.
    fn deadline(&self) -> Duration {
        let Some(parent) = self.parent else { return Duration::MAX };
        self.revision_moved.max(parent.since) + parent.patience
    }

    fn patience(&mut self, candidate: ParentCandidate) -> Duration {
        let least = match candidate {
            ParentCandidate::ControlNode(_) => CONTROL_NODE_TIMEOUT,
            ParentCandidate::Agent(_) => AGENT_PATIENCE,
        };
        least + self.jitter(PATIENCE_JITTER)
    }

    /// Returns the pause after the latest of several failures.
    fn pause(&mut self) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(8);
        self.around((FIRST_PAUSE * 2u32.pow(doublings)).min(LONGEST_PAUSE), 0.5)
    }

    /// Returns a time by chance, between none and this.
    fn jitter(&mut self, most: Duration) -> Duration {
        most.mul_f64(self.random.f64())
    }

    /// Returns a time by chance, around this one by a part of it at most.
    fn around(&mut self, time: Duration, part: f64) -> Duration {
        time.mul_f64(1.0 - part + 2.0 * part * self.random.f64())
    }
}
