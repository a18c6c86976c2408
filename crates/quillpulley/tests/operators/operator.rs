//! An operator: sends one command after the other, each unchanged until it has a definite response or is abandoned.

use super::node::RequestId;
use super::requests::{Request, INVALID_KINDS};
use super::world::{address, World};
use quillpulley::control::response::Response;
use std::net::IpAddr;

/// How long an operator waits for a response before it sends again.
const RESPONSE_TIMEOUT_MS: u64 = 1000;
const MAX_BACKOFF_MS: u64 = 200;
const MAX_REDIRECTS: usize = 2;
/// Commands may be abandoned after this many sends.
const SENDS_BEFORE_ABANDONING: usize = 3;

/// A command that an operator tries to get through.
#[derive(Clone, Debug)]
struct PendingRequest {
    request: Request,
    sent: Option<(RequestId, u64)>,
    redirects: usize,
    sends: usize,
    next_at: u64,
}

pub struct Operator {
    number: usize,
    pending: Option<PendingRequest>,
    /// The version that it believes active.
    known_version: u64,
    /// Its zone, and whether it wants it evacuated next.
    evacuates_next: bool,
    /// Commands that it may send again at any time.
    past: Vec<Request>,
    pub completed: usize,
    /// It begins nothing new.
    pub is_stopped: bool,
}

impl Operator {
    pub fn new(number: usize) -> Self {
        Operator {
            number,
            pending: None,
            known_version: 0,
            evacuates_next: true,
            past: Vec::new(),
            completed: 0,
            is_stopped: false,
        }
    }

    pub fn is_idle(&self) -> bool {
        self.pending.is_none()
    }

    pub fn poll(&mut self, world: &mut World) {
        let Some(mut pending) = self.pending.take().or_else(|| self.begin(world)) else { return };
        if let Some((id, sent_at)) = pending.sent {
            match world.response_to(id).cloned() {
                Some(response) => {
                    pending.sent = None;
                    if self.handle_response(world, &mut pending, response) {
                        return;
                    }
                }
                None if world.now > sent_at + RESPONSE_TIMEOUT_MS => pending.sent = None,
                None => {}
            }
            pending.next_at = pending.next_at.max(world.now);
        } else if world.now >= pending.next_at {
            if pending.sends > SENDS_BEFORE_ABANDONING && !self.is_stopped && world.random.usize(0..4) == 0 {
                self.completed += 1;
                return;
            }
            let machine = world.random.usize(0..world.machines.len());
            send(world, &mut pending, machine);
        }
        self.pending = Some(pending);
    }

    /// Handles a response; returns whether the request is complete.
    fn handle_response(
        &mut self,
        world: &mut World,
        pending: &mut PendingRequest,
        response: Option<Response>,
    ) -> bool {
        match response {
            Some(Response::Redirect(to)) if pending.redirects < MAX_REDIRECTS => {
                pending.redirects += 1;
                let found =
                    (0..world.machines.len()).find(|machine| IpAddr::V4(address(*machine)) == to.ip());
                send(world, pending, found.expect("a redirect to a machine that there is"));
                false
            }
            None | Some(Response::Redirect(_) | Response::Unavailable | Response::HistoryExpired { .. }) => {
                pending.redirects = 0;
                pending.next_at = world.now + world.random.u64(1..MAX_BACKOFF_MS);
                false
            }
            Some(response) => {
                self.learn(world, &pending.request, &response);
                self.completed += 1;
                true
            }
        }
    }

    fn learn(&mut self, world: &mut World, request: &Request, response: &Response) {
        match (request, response) {
            (Request::Replace { version, .. }, Response::Acknowledged) => {
                self.known_version = self.known_version.max(*version)
            }
            (_, Response::Conflict { current }) => self.known_version = *current,
            (Request::Evacuate { zone, active }, Response::Acknowledged) => {
                world.checker.confirm_evacuation(zone, *active)
            }
            (Request::Read, Response::Configuration(_)) => {
                self.known_version = world.checker.recent_versions().last().copied().unwrap_or(0);
            }
            _ => {}
        }
        if *request != Request::Read && !matches!(request, Request::Evacuate { .. }) {
            self.past.push(request.clone());
        }
    }

    /// What to do next. Few marks and versions are in use, so that operators often meet.
    fn begin(&mut self, world: &mut World) -> Option<PendingRequest> {
        if self.is_stopped || world.random.usize(0..4) == 0 {
            return None;
        }
        let request = match world.random.usize(0..20) {
            0..=9 => {
                let mark = ["a", "b", "c"][world.random.usize(0..3)];
                Request::valid(self.known_version, self.known_version + world.random.u64(1..3), mark)
            }
            10 => Request::invalid(self.known_version, world.random.usize(0..INVALID_KINDS)),
            11 => Request::valid(self.known_version.saturating_sub(1), self.known_version + 1, "late"),
            12..=14 => self.past.get(world.random.usize(0..self.past.len().max(1))).cloned()?,
            15..=16 => self.evacuation(world)?,
            _ => Request::Read,
        };
        Some(PendingRequest { request, sent: None, redirects: 0, sends: 0, next_at: world.now })
    }

    /// Its own zone, evacuated and restored in turn; nothing while an older command for it may still arrive.
    fn evacuation(&mut self, world: &World) -> Option<Request> {
        let zone = format!("z{}", self.number);
        if world.checker.has_open_evacuation(&zone) {
            return None;
        }
        let active = self.evacuates_next;
        self.evacuates_next = !active;
        Some(Request::Evacuate { zone, active })
    }
}

fn send(world: &mut World, pending: &mut PendingRequest, machine: usize) {
    pending.sends += 1;
    let id = world.send_request(machine, &pending.request);
    pending.sent = Some((id, world.now));
}
