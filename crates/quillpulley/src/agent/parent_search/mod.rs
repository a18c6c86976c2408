//! Selects the parent from which an agent receives published state: a pure state machine.
//!
//! The candidates are ordered by preference, best first. The search connects to the best candidate that is reachable.
//! It searches for another parent when the link to the parent closes, or when the revision of the published state
//! stalls. After a stall, the link to the old parent is closed only once the link to the new one is open. Once the
//! revision is older than `MAX_AGE_BELOW_AGENTS`, control nodes are tried before agents, whatever has been tried until
//! then: an agent that is connected may itself wait for its parent, and so on.
//!
//! While the agent has a parent, the search tries every few seconds to connect to a better candidate. The link to the
//! former parent stays open until the revision has advanced with the better one.

mod attempts;
mod delays;
mod penalties;

use attempts::{Attempt, Attempts, MAX_CONCURRENT_ATTEMPTS};
use delays::{Delays, CONTROL_NODE_TIMEOUT};
use displaydoc::Display;
use penalties::Penalties;
use quillpulley_state_sync::parent_selection::ParentCandidate;
use std::time::Duration;

/// The delay between connection attempts. If a candidate has not connected within this time, the next one is tried
/// concurrently.
const ATTEMPT_STAGGER: Duration = Duration::from_millis(250);
/// While the revision is too old, agents are tried only if this many control nodes are being tried. The other attempts are
/// left for agents, which may work where no control node can be reached.
const MIN_CONTROL_NODE_ATTEMPTS: usize = MAX_CONCURRENT_ATTEMPTS - 1;
/// The age of the revision from which a parent that is an agent is given up, and control nodes are tried first. It leaves
/// an agent the time to find another parent itself.
const MAX_AGE_BELOW_AGENTS: Duration = Duration::from_millis(2_000);
/// The time that an agent, or a former parent that is used again, has after it became the parent even if the revision is
/// older than that.
const MIN_TIME_OF_PARENT: Duration = Duration::from_millis(300);
/// How long the revision may take to advance with a better candidate before the former parent is used again.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(600);
/// The penalties of a parent are cleared if its revision still advances this long after it became the parent.
const PENALTY_RESET_AFTER: Duration = Duration::from_secs(10);

/// An event for a [`ParentSearch`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The list of candidates has changed. It contains all candidates, best first.
    Candidates(Vec<ParentCandidate>),
    /// The link to a candidate is open.
    Opened(ParentCandidate),
    /// The link to a candidate could not be opened, or has closed.
    Lost(ParentCandidate),
    /// The revision of the published state has advanced.
    RevisionAdvanced,
    /// The parent has answered the subscription, and has no newer revision.
    NothingNewer,
    /// A timer may be due. Must be sent at [`ParentSearch::next_tick`], or shortly afterwards.
    Tick,
}

/// An action that the event loop has to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start to connect to this candidate.
    Connect(ParentCandidate),
    /// Make this candidate the parent: receive published state from it, and from no other process. Its link is open.
    Use(ParentCandidate),
    /// Close the link to this candidate, or cancel the connection attempt.
    Close(ParentCandidate),
}

/// Why a process became the parent.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq)]
pub enum ParentChangeReason {
    /// first parent
    First,
    /// the link to the previous parent closed
    Lost,
    /// the revision stalled
    Stalled,
    /// better candidate
    BetterCandidate,
    /// former parent, as the revision did not advance with a better candidate
    FailedTrial,
}

/// Whether the search has a working parent.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
enum SearchState {
    /// There is no parent, or its revision has stalled. The search began at `since`, and the next connection attempt is
    /// due at `next_connect`.
    Searching { since: Duration, next_connect: Duration },
    /// There is a parent, and its revision has advanced within the stall timeout. The next attempt to connect to a
    /// better candidate is due at `next_review`.
    Attached { next_review: Duration },
    /// The parent is a better candidate, with which the revision has not advanced yet. The link to the former parent is
    /// still open. It is used again at `ends_at`.
    Trial { former: ParentCandidate, ends_at: Duration },
}

#[derive(Copy, Clone, Debug)]
struct Parent {
    candidate: ParentCandidate,
    since: Duration,
    reason: ParentChangeReason,
    stall_timeout: Duration,
}

/// The search for the parent of one agent. All times are measured from the start of the process.
pub struct ParentSearch {
    state: SearchState,
    candidates: Vec<ParentCandidate>,
    attempts: Attempts,
    parent: Option<Parent>,
    /// Why the latest search began.
    search_reason: ParentChangeReason,
    revision_advanced_at: Duration,
    /// The number of attempts that have failed since the revision last advanced: no link was opened, or it closed before the
    /// revision had advanced.
    failures: u32,
    penalties: Penalties,
    delays: Delays,
}

impl ParentSearch {
    /// Creates a search without candidates, which starts at the start of the process. `seed` is the seed of the random
    /// numbers.
    pub fn new(seed: u64) -> ParentSearch {
        ParentSearch {
            state: SearchState::Searching { since: Duration::ZERO, next_connect: Duration::ZERO },
            candidates: Vec::new(),
            attempts: Attempts::default(),
            parent: None,
            search_reason: ParentChangeReason::First,
            revision_advanced_at: Duration::ZERO,
            failures: 0,
            penalties: Penalties::default(),
            delays: Delays::new(seed),
        }
    }

    /// Handles an event, and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Candidates(candidates) => self.candidates = candidates,
            Event::Opened(candidate) => self.link_opened(now, candidate, actions),
            Event::Lost(candidate) => self.link_lost(now, candidate, actions),
            Event::RevisionAdvanced => self.revision_advanced(now, actions),
            Event::NothingNewer => self.nothing_newer(now),
            Event::Tick => {}
        }
        self.advance(now, actions);
    }

    /// Returns when the next [`Event::Tick`] is due, or `Duration::MAX` if no timer is running.
    pub fn next_tick(&self) -> Duration {
        match self.state {
            SearchState::Searching { .. } if !self.attempts.may_have_room() => Duration::MAX,
            SearchState::Searching { next_connect, .. } => next_connect,
            SearchState::Attached { next_review } => self.deadline().min(next_review),
            SearchState::Trial { ends_at, .. } => ends_at,
        }
    }

    /// Returns the current parent, if there is one. Its revision may have stalled.
    pub fn parent(&self) -> Option<ParentCandidate> {
        self.parent.map(|parent| parent.candidate)
    }

    /// Returns when the current parent became the parent, if there is one.
    pub fn parent_since(&self) -> Option<Duration> {
        self.parent.map(|parent| parent.since)
    }

    /// Returns why the current parent became the parent, or else why one is searched for.
    pub fn change_reason(&self) -> ParentChangeReason {
        self.parent.map_or(self.search_reason, |parent| parent.reason)
    }

    /// Returns when the search for a parent began, or `None` if there is a parent whose revision has not stalled.
    pub fn searching_since(&self) -> Option<Duration> {
        match self.state {
            SearchState::Searching { since, .. } => Some(since),
            SearchState::Attached { .. } | SearchState::Trial { .. } => None,
        }
    }

    /// Returns the candidates whose penalties have not expired.
    pub fn failed_candidates(&self, now: Duration) -> Vec<ParentCandidate> {
        self.penalties.active(now).collect()
    }

    fn link_opened(&mut self, now: Duration, candidate: ParentCandidate, actions: &mut Vec<Action>) {
        if !self.attempts.remove(candidate) {
            return;
        }
        match (self.state, self.parent()) {
            (SearchState::Attached { .. }, Some(ParentCandidate::Agent(_)))
                if self.is_too_old(now) && matches!(candidate, ParentCandidate::ControlNode(_)) =>
            {
                self.switch_to(now, candidate, actions);
            }
            (SearchState::Attached { .. }, Some(parent)) if self.is_preferred(now, candidate, parent) => {
                self.start_trial(now, candidate, parent, actions);
            }
            (SearchState::Attached { .. }, Some(_)) | (SearchState::Trial { .. }, _) => {
                actions.push(Action::Close(candidate));
            }
            (SearchState::Attached { .. } | SearchState::Searching { .. }, _) => {
                self.switch_to(now, candidate, actions);
            }
        }
    }

    fn switch_to(&mut self, now: Duration, candidate: ParentCandidate, actions: &mut Vec<Action>) {
        let former = self.parent();
        self.use_candidate(now, candidate, self.search_reason, actions);
        actions.extend(former.map(Action::Close));
        self.keep_parent(now, actions);
    }

    fn start_trial(
        &mut self,
        now: Duration,
        candidate: ParentCandidate,
        former: ParentCandidate,
        actions: &mut Vec<Action>,
    ) {
        self.use_candidate(now, candidate, ParentChangeReason::BetterCandidate, actions);
        self.change_state(SearchState::Trial { former, ends_at: now + TRIAL_TIMEOUT });
    }

    /// Ends a trial in which the better candidate has failed: uses the former parent again.
    fn return_to(&mut self, now: Duration, former: ParentCandidate, actions: &mut Vec<Action>) {
        let failed = self.parent();
        failed.into_iter().for_each(|failed| self.penalties.add(now, failed));
        self.use_candidate(now, former, ParentChangeReason::FailedTrial, actions);
        actions.extend(failed.map(Action::Close));
        self.keep_parent(now, actions);
    }

    fn use_candidate(
        &mut self,
        now: Duration,
        candidate: ParentCandidate,
        reason: ParentChangeReason,
        actions: &mut Vec<Action>,
    ) {
        actions.push(Action::Use(candidate));
        let stall_timeout = self.delays.stall_timeout(candidate);
        self.parent = Some(Parent { candidate, since: now, reason, stall_timeout });
    }

    fn link_lost(&mut self, now: Duration, candidate: ParentCandidate, actions: &mut Vec<Action>) {
        if self.attempts.remove(candidate) {
            self.penalties.add(now, candidate);
            self.failures = self.failures.saturating_add(1);
            self.schedule_retry(now);
        } else if self.parent() == Some(candidate) {
            self.parent_lost(now, candidate, actions);
        } else if matches!(self.state, SearchState::Trial { former, .. } if former == candidate) {
            self.penalties.add(now, candidate);
            self.keep_parent(now, actions);
        }
    }

    fn parent_lost(&mut self, now: Duration, parent: ParentCandidate, actions: &mut Vec<Action>) {
        let was_useful = self.parent.take().is_some_and(|parent| self.revision_advanced_at >= parent.since);
        self.penalties.add(now, parent);
        if let SearchState::Trial { former, .. } = self.state {
            self.return_to(now, former, actions);
        } else {
            let next_connect = now + self.delay_after_loss(was_useful);
            self.start_search(now, next_connect, ParentChangeReason::Lost);
        }
    }

    /// Returns the delay until another parent is searched for. A parent that closed its link before it was of use may have
    /// sent this agent away, as others may.
    fn delay_after_loss(&mut self, was_useful: bool) -> Duration {
        if was_useful {
            return self.delays.first_attempt();
        }
        self.failures = self.failures.saturating_add(1);
        self.delays.backoff(self.failures)
    }

    fn schedule_retry(&mut self, now: Duration) {
        let SearchState::Searching { since, next_connect } = self.state else { return };
        let retry_at = now + self.delays.backoff(self.failures);
        let next_connect = if self.attempts.is_empty() { retry_at } else { next_connect.min(retry_at) };
        self.change_state(SearchState::Searching { since, next_connect });
    }

    fn revision_advanced(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.revision_advanced_at = now;
        self.failures = 0;
        let Some(parent) = self.parent else { return };
        match now.saturating_sub(parent.since) >= PENALTY_RESET_AFTER {
            true => self.penalties.clear(parent.candidate),
            false => self.penalties.expire(now, parent.candidate),
        }
        match self.state {
            SearchState::Searching { .. } => self.keep_parent(now, actions),
            SearchState::Trial { former, .. } => {
                actions.push(Action::Close(former));
                self.keep_parent(now, actions);
            }
            SearchState::Attached { .. } => {}
        }
    }

    /// Gives up a control node that has no newer revision, if the revision has stalled: the control node has waited for
    /// as long itself. Once every control node has failed, each has its whole time again, as there may be no primary.
    fn nothing_newer(&mut self, now: Duration) {
        let Some(ParentCandidate::ControlNode(_)) = self.parent() else { return };
        let is_stalled = now >= self.revision_advanced_at + CONTROL_NODE_TIMEOUT;
        if matches!(self.state, SearchState::Attached { .. })
            && is_stalled
            && self.has_untried_control_node(now)
        {
            let next_connect = now + self.delays.first_attempt();
            self.give_up_parent(now, next_connect);
        }
    }

    fn has_untried_control_node(&self, now: Duration) -> bool {
        let mut control_nodes =
            self.candidates.iter().filter(|candidate| matches!(candidate, ParentCandidate::ControlNode(_)));
        control_nodes.any(|candidate| {
            !self.is_in_use(*candidate) && self.penalties.remaining(now, *candidate).is_zero()
        })
    }

    /// Searches for another parent because the revision has stalled. The parent is kept until another one is connected.
    fn give_up_parent(&mut self, now: Duration, next_connect: Duration) {
        let stalled = self.parent();
        stalled.into_iter().for_each(|parent| self.penalties.add(now, parent));
        self.start_search(now, next_connect, ParentChangeReason::Stalled);
    }

    /// Handles the timers that are due.
    fn advance(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if matches!(self.state, SearchState::Attached { .. }) && now >= self.deadline() {
            self.give_up_parent(now, now);
        }
        match self.state {
            SearchState::Searching { since, next_connect } if now >= next_connect => {
                let next_connect = now + self.connect_to_next(now, actions);
                self.change_state(SearchState::Searching { since, next_connect });
            }
            SearchState::Attached { next_review } if now >= next_review => {
                self.connect_to_better(now, actions);
                let next_review = now + self.delays.review();
                self.change_state(SearchState::Attached { next_review });
            }
            SearchState::Trial { former, ends_at } if now >= ends_at => self.return_to(now, former, actions),
            _ => {}
        }
    }

    /// Connects to the next candidate. Returns the delay until the next attempt.
    fn connect_to_next(&mut self, now: Duration, actions: &mut Vec<Action>) -> Duration {
        let next = self.next_candidate(now);
        if let Some(next) = next.filter(|next| self.make_room(now, *next, actions)) {
            self.connect(now, next, actions);
        }
        ATTEMPT_STAGGER
    }

    /// Returns the best candidate without a penalty, or the best control node if the revision is too old. If all have
    /// penalties, returns the one whose penalty expires first. While the revision is too old and fewer than
    /// [`MIN_CONTROL_NODE_ATTEMPTS`] control nodes are being tried, returns a control node even if only control nodes have
    /// penalties.
    fn next_candidate(&self, now: Duration) -> Option<ParentCandidate> {
        let is_too_old = self.is_too_old(now);
        let needs_control_node = is_too_old && self.control_nodes_tried() < MIN_CONTROL_NODE_ATTEMPTS;
        let untried = self.candidates.iter().copied().filter(|candidate| !self.is_in_use(*candidate));
        untried.min_by_key(|candidate| {
            let is_agent = matches!(candidate, ParentCandidate::Agent(_));
            (
                needs_control_node && is_agent,
                self.penalties.remaining(now, *candidate),
                is_too_old && is_agent,
            )
        })
    }

    /// Returns the number of control nodes that are connecting or are the parent.
    fn control_nodes_tried(&self) -> usize {
        let tried = self.attempts.candidates().chain(self.parent());
        tried.filter(|candidate| matches!(candidate, ParentCandidate::ControlNode(_))).count()
    }

    /// Returns whether there is room for an attempt to connect to this candidate. If the revision is too old, the oldest
    /// attempt to an agent is cancelled in favour of a control node.
    fn make_room(&mut self, now: Duration, next: ParentCandidate, actions: &mut Vec<Action>) -> bool {
        if self.attempts.has_room() {
            return true;
        }
        let is_preferred = self.is_too_old(now) && matches!(next, ParentCandidate::ControlNode(_));
        let replaced = if is_preferred { self.attempts.take_oldest_to_agent() } else { None };
        let Some(attempt) = replaced else { return false };
        self.cancel(now, attempt, actions);
        true
    }

    /// Cancels an attempt that was removed. A candidate that has not answered for as long as the next one had to wait
    /// gets a penalty.
    fn cancel(&mut self, now: Duration, attempt: Attempt, actions: &mut Vec<Action>) {
        if now >= attempt.since + ATTEMPT_STAGGER {
            self.penalties.add(now, attempt.candidate);
        }
        actions.push(Action::Close(attempt.candidate));
    }

    /// Connects to the best candidate without a penalty, if it is better than the parent and no attempt is in progress.
    fn connect_to_better(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(parent) = self.parent else { return };
        let mut without_penalty =
            self.candidates.iter().filter(|c| self.penalties.remaining(now, **c).is_zero());
        let Some(best) = without_penalty.next().copied() else { return };
        if self.attempts.is_empty() && self.is_preferred(now, best, parent.candidate) {
            self.connect(now, best, actions);
        }
    }

    fn connect(&mut self, now: Duration, candidate: ParentCandidate, actions: &mut Vec<Action>) {
        self.attempts.add(now, candidate);
        actions.push(Action::Connect(candidate));
    }

    /// Ends the search with the current parent, and cancels the attempts to connect to candidates that are not preferred.
    fn keep_parent(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(parent) = self.parent else { return };
        let mut attempts = std::mem::take(&mut self.attempts);
        let worse = attempts.take_unless(|candidate| self.is_preferred(now, candidate, parent.candidate));
        self.attempts = attempts;
        worse.into_iter().for_each(|attempt| self.cancel(now, attempt, actions));
        let next_review = now + self.delays.review();
        self.change_state(SearchState::Attached { next_review });
    }

    fn start_search(&mut self, now: Duration, next_connect: Duration, reason: ParentChangeReason) {
        self.search_reason = reason;
        let since = self.searching_since().unwrap_or(now);
        self.change_state(SearchState::Searching { since, next_connect });
    }

    /// Changes the state. All state transitions go through this function.
    fn change_state(&mut self, next: SearchState) {
        self.state = next;
    }

    fn is_in_use(&self, candidate: ParentCandidate) -> bool {
        let is_former = matches!(self.state, SearchState::Trial { former, .. } if former == candidate);
        let is_attempted = self.attempts.candidates().any(|attempted| attempted == candidate);
        is_former || is_attempted || self.parent() == Some(candidate)
    }

    /// Returns whether the revision is so old that control nodes are preferred to agents.
    fn is_too_old(&self, now: Duration) -> bool {
        now >= self.revision_advanced_at + MAX_AGE_BELOW_AGENTS
    }

    /// Returns whether one candidate is to replace another: it is a control node and the other an agent, if the revision is
    /// too old, or else it is better.
    fn is_preferred(&self, now: Duration, candidate: ParentCandidate, other: ParentCandidate) -> bool {
        match (candidate, other) {
            (ParentCandidate::ControlNode(_), ParentCandidate::Agent(_)) if self.is_too_old(now) => true,
            (ParentCandidate::Agent(_), ParentCandidate::ControlNode(_)) if self.is_too_old(now) => false,
            _ => self.is_better(candidate, other),
        }
    }

    /// Returns whether one candidate is better than another. A process that is no longer a candidate ranks below all
    /// candidates.
    fn is_better(&self, candidate: ParentCandidate, other: ParentCandidate) -> bool {
        self.rank(candidate) < self.rank(other)
    }

    fn rank(&self, candidate: ParentCandidate) -> usize {
        let rank = self.candidates.iter().position(|known| *known == candidate);
        rank.unwrap_or(usize::MAX)
    }

    /// Returns when the parent will be considered stalled, unless the revision advances before then.
    fn deadline(&self) -> Duration {
        let Some(parent) = self.parent else { return Duration::MAX };
        let min_time = match parent.reason {
            ParentChangeReason::FailedTrial => MIN_TIME_OF_PARENT,
            _ => parent.stall_timeout,
        };
        let stalled_at = (self.revision_advanced_at + parent.stall_timeout).max(parent.since + min_time);
        match parent.candidate {
            ParentCandidate::ControlNode(_) => stalled_at,
            ParentCandidate::Agent(_) => {
                let too_old_at = self.revision_advanced_at + MAX_AGE_BELOW_AGENTS;
                stalled_at.min(too_old_at.max(parent.since + MIN_TIME_OF_PARENT))
            }
        }
    }
}
