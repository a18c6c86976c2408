//! An operator: sends one order after the other, each unchanged until it has a clear answer or is given up.

use super::node::CallId;
use super::orders::{Wish, INVALID_KINDS};
use super::world::{address, World};
use quillpulley::control::response::Response;
use std::net::IpAddr;

/// How long an operator waits for an answer before it sends again.
const PATIENCE_MS: u64 = 1000;
const LONGEST_PAUSE_MS: u64 = 200;
const MOST_REDIRECTS: usize = 2;
/// Orders are given up after so many sends, one in so many times.
const SENDS_BEFORE_GIVING_UP: usize = 3;

/// An order that an operator tries to get through.
#[derive(Clone, Debug)]
struct Work {
    wish: Wish,
    call: Option<(CallId, u64)>,
    redirects: usize,
    sends: usize,
    next_at: u64,
}

pub struct Operator {
    number: usize,
    work: Option<Work>,
    /// The version that it believes in force.
    known: u64,
    /// Its zone, and whether it wants it evacuated next.
    evacuates_next: bool,
    /// Orders that it may send again at any time.
    past: Vec<Wish>,
    pub ended: usize,
    /// It begins nothing new.
    pub retired: bool,
}

impl Operator {
    pub fn new(number: usize) -> Self {
        Operator {
            number,
            work: None,
            known: 0,
            evacuates_next: true,
            past: Vec::new(),
            ended: 0,
            retired: false,
        }
    }

    pub fn is_idle(&self) -> bool {
        self.work.is_none()
    }

    pub fn poll(&mut self, world: &mut World) {
        let Some(mut work) = self.work.take().or_else(|| self.begin(world)) else { return };
        if let Some((call, sent_at)) = work.call {
            match world.answer(call).cloned() {
                Some(answer) => {
                    work.call = None;
                    if self.take_answer(world, &mut work, answer) {
                        return;
                    }
                }
                None if world.now > sent_at + PATIENCE_MS => work.call = None,
                None => {}
            }
            work.next_at = work.next_at.max(world.now);
        } else if world.now >= work.next_at {
            if work.sends > SENDS_BEFORE_GIVING_UP && !self.retired && world.random.usize(0..4) == 0 {
                self.ended += 1;
                return;
            }
            let machine = world.random.usize(0..world.machines.len());
            send(world, &mut work, machine);
        }
        self.work = Some(work);
    }

    /// Handles an answer; says whether the work is done.
    fn take_answer(&mut self, world: &mut World, work: &mut Work, answer: Option<Response>) -> bool {
        match answer {
            Some(Response::Redirect(to)) if work.redirects < MOST_REDIRECTS => {
                work.redirects += 1;
                let found =
                    (0..world.machines.len()).find(|machine| IpAddr::V4(address(*machine)) == to.ip());
                send(world, work, found.expect("a redirect to a machine that there is"));
                false
            }
            None | Some(Response::Redirect(_) | Response::Unavailable | Response::HistoryExpired { .. }) => {
                work.redirects = 0;
                work.next_at = world.now + world.random.u64(1..LONGEST_PAUSE_MS);
                false
            }
            Some(answer) => {
                self.learn(world, &work.wish, &answer);
                self.ended += 1;
                true
            }
        }
    }

    fn learn(&mut self, world: &mut World, wish: &Wish, answer: &Response) {
        match (wish, answer) {
            (Wish::Replace { version, .. }, Response::Acknowledged) => self.known = self.known.max(*version),
            (_, Response::Conflict { current }) => self.known = *current,
            (Wish::Evacuate { zone, active }, Response::Acknowledged) => world.checker.promise(zone, *active),
            (Wish::Read, Response::Configuration(_)) => {
                self.known = world.checker.recent_versions().last().copied().unwrap_or(0);
            }
            _ => {}
        }
        if *wish != Wish::Read && !matches!(wish, Wish::Evacuate { .. }) {
            self.past.push(wish.clone());
        }
    }

    /// What to do next. Few marks and versions are in use, so that operators often meet.
    fn begin(&mut self, world: &mut World) -> Option<Work> {
        if self.retired || world.random.usize(0..4) == 0 {
            return None;
        }
        let wish = match world.random.usize(0..20) {
            0..=9 => {
                let mark = ["a", "b", "c"][world.random.usize(0..3)];
                Wish::valid(self.known, self.known + world.random.u64(1..3), mark)
            }
            10 => Wish::invalid(self.known, world.random.usize(0..INVALID_KINDS)),
            11 => Wish::valid(self.known.saturating_sub(1), self.known + 1, "late"),
            12..=14 => self.past.get(world.random.usize(0..self.past.len().max(1))).cloned()?,
            15..=16 => self.evacuation(world)?,
            _ => Wish::Read,
        };
        Some(Work { wish, call: None, redirects: 0, sends: 0, next_at: world.now })
    }

    /// Its own zone, evacuated and taken back in turn; nothing while an older order for it may still arrive.
    fn evacuation(&mut self, world: &World) -> Option<Wish> {
        let zone = format!("z{}", self.number);
        if world.checker.has_open_evacuation(&zone) {
            return None;
        }
        let active = self.evacuates_next;
        self.evacuates_next = !active;
        Some(Wish::Evacuate { zone, active })
    }
}

fn send(world: &mut World, work: &mut Work, machine: usize) {
    work.sends += 1;
    let call = world.call(machine, &work.wish);
    work.call = Some((call, world.now));
}
