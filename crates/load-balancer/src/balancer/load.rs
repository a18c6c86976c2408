//! What is under way at a server: the own requests, and those of others as they were last told.

use super::speed::Pace;
use crate::demand::Demand;
use quillpulley_protocol::ServerLoad;
use std::collections::BTreeMap;
use std::time::Duration;

/// What others told is taken as it is for this long, and fades until it is twice as old. Without news a server
/// would else stay avoided, or sought, for what is long over.
const TOLD_FRESH: Duration = Duration::from_secs(2);

/// Numbers of requests, and what they wait for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Tally {
    /// Requests whose answer has begun.
    pub(crate) running: f64,
    /// Requests whose answer has not begun.
    pub(crate) waiting: f64,
    /// Tokens of the waiting requests' prompts that the server has yet to read.
    pub(crate) waiting_tokens: f64,
    /// Failures of late.
    pub(crate) failures: f64,
}

impl Tally {
    fn of(load: &ServerLoad) -> Self {
        Tally {
            running: f64::from(load.running),
            waiting: f64::from(load.waiting),
            waiting_tokens: f64::from(load.prompt_tokens),
            failures: f64::from(load.failures),
        }
    }

    /// Returns what is left without a part, none of it below zero, faded.
    fn without(&self, part: &Tally, factor: f64) -> Tally {
        let left = |all: f64, part: f64| (all - part).max(0.0) * factor;
        Tally {
            running: left(self.running, part.running),
            waiting: left(self.waiting, part.waiting),
            waiting_tokens: left(self.waiting_tokens, part.waiting_tokens),
            failures: left(self.failures, part.failures),
        }
    }

    pub(crate) fn requests(&self) -> f64 {
        self.running + self.waiting
    }
}

/// What a request adds to a server's load.
#[derive(Clone, Debug)]
pub(crate) struct Burden {
    /// Tokens of its prompt that the server has to read.
    pub(crate) unread: u32,
    /// Tokens that it alone needs in the server's memory.
    private: u32,
    /// The parts that it shares with others, and their lengths.
    shared: Box<[(u64, u32)]>,
}

impl Burden {
    pub(crate) fn new(demand: &Demand<'_>, unread: u32) -> Self {
        let shared = demand.shared().iter().map(|part| (part.id, part.tokens)).collect();
        Burden { unread, private: demand.private_tokens(), shared }
    }

    pub(crate) fn shared_ids(&self) -> impl Iterator<Item = u64> + '_ {
        self.shared.iter().map(|(id, _)| *id)
    }
}

/// What is under way at a server.
#[derive(Default)]
pub(crate) struct Load {
    running: u32,
    waiting: u32,
    waiting_tokens: u64,
    private_tokens: u64,
    /// Shared parts of requests under way: how many of these have it, and its length.
    shared: BTreeMap<u64, (u32, u32)>,
    shared_tokens: u64,
    /// Since when nothing has been heard of the server while a request waits.
    silent_since: Option<Duration>,
    /// The own tally as others were last told.
    reported: Tally,
    others: Tally,
    told: Duration,
}

impl Load {
    pub(crate) fn begin(&mut self, now: Duration, burden: &Burden) {
        self.waiting += 1;
        self.waiting_tokens += u64::from(burden.unread);
        self.private_tokens += u64::from(burden.private);
        for (id, tokens) in burden.shared.iter().copied() {
            let (users, _) = self.shared.entry(id).or_insert((0, tokens));
            *users += 1;
            if *users == 1 {
                self.shared_tokens += u64::from(tokens);
            }
        }
        self.silent_since = self.silent_since.or(Some(now));
    }

    /// The answer of a waiting request has begun.
    pub(crate) fn start(&mut self, now: Duration, burden: &Burden) {
        self.stop_waiting(burden);
        self.running += 1;
        self.heard(now);
    }

    /// A request has ended; `heard`: the server has said something.
    pub(crate) fn end(&mut self, now: Duration, burden: &Burden, started: bool, heard: bool) {
        if started {
            self.running = self.running.saturating_sub(1);
        } else {
            self.stop_waiting(burden);
        }
        self.private_tokens = self.private_tokens.saturating_sub(u64::from(burden.private));
        for id in burden.shared_ids() {
            self.release(id);
        }
        if heard || self.waiting == 0 {
            self.heard(now);
        }
    }

    fn stop_waiting(&mut self, burden: &Burden) {
        self.waiting = self.waiting.saturating_sub(1);
        self.waiting_tokens = self.waiting_tokens.saturating_sub(u64::from(burden.unread));
    }

    fn release(&mut self, id: u64) {
        let Some((users, tokens)) = self.shared.get_mut(&id) else { return };
        *users -= 1;
        if *users == 0 {
            self.shared_tokens = self.shared_tokens.saturating_sub(u64::from(*tokens));
            self.shared.remove(&id);
        }
    }

    fn heard(&mut self, now: Duration) {
        self.silent_since = (self.waiting > 0).then_some(now);
    }

    /// Returns for how long requests have waited without a word of the server.
    fn silence(&self, now: Duration) -> Duration {
        self.silent_since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Returns whether requests have waited for longer than the service's pace explains.
    pub(crate) fn is_silent(&self, now: Duration, pace: &Pace) -> bool {
        self.silence(now) > pace.silence(self.total(now).waiting_tokens)
    }

    /// Requests that wait for a server which has said nothing for longer than it may.
    pub(crate) fn unanswered(&self, now: Duration, pace: &Pace) -> f64 {
        if self.is_silent(now, pace) {
            return f64::from(self.waiting);
        }
        0.0
    }

    /// Own requests under way.
    pub(crate) fn own(&self) -> u32 {
        self.running + self.waiting
    }

    /// Returns what is to be told to others, which is remembered.
    pub(crate) fn report(&mut self, server: u64, failures: f64) -> ServerLoad {
        let load = ServerLoad {
            server,
            running: self.running,
            waiting: self.waiting,
            prompt_tokens: u32::try_from(self.waiting_tokens).unwrap_or(u32::MAX),
            failures: failures.round() as u32,
        };
        self.reported = Tally::of(&load);
        load
    }

    /// The sum over all limiters; `None` where nobody has anything under way.
    pub(crate) fn set_total(&mut self, now: Duration, total: Option<&ServerLoad>) {
        let total = total.map(Tally::of).unwrap_or_default();
        self.others = total.without(&self.reported, 1.0);
        self.told = now;
    }

    /// Returns what others have under way.
    pub(crate) fn others(&self, now: Duration) -> Tally {
        let age = now.saturating_sub(self.told).as_secs_f64() / TOLD_FRESH.as_secs_f64();
        self.others.without(&Tally::default(), (2.0 - age).clamp(0.0, 1.0))
    }

    /// Returns what all limiters have under way.
    pub(crate) fn total(&self, now: Duration) -> Tally {
        let others = self.others(now);
        Tally {
            running: others.running + f64::from(self.running),
            waiting: others.waiting + f64::from(self.waiting),
            waiting_tokens: others.waiting_tokens + self.waiting_tokens as f64,
            failures: others.failures,
        }
    }

    /// Tokens in the server's memory that cannot give way, where each request of others needs as much as given.
    pub(crate) fn memory(&self, now: Duration, mean_private_tokens: f64) -> f64 {
        let others = self.others(now).requests() * mean_private_tokens;
        self.private_tokens as f64 + self.shared_tokens as f64 + others
    }
}
