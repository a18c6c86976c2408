//! A simulated operator. It has one pending request at a time, and resends it unchanged until it gets a
//! definite response or abandons the request.

use super::checker::is_definite;
use super::node::RequestId;
use super::requests::{Request, INVALID_KIND_COUNT};
use super::world::{address, World};
use quillpulley::control::response::Response;
use std::net::IpAddr;

/// The time after which an operator stops waiting for a response and sends the request again.
const RESPONSE_TIMEOUT_MS: u64 = 1000;
/// The upper bound of the random delay before a request is sent again.
const MAX_BACKOFF_MS: u64 = 200;
/// The maximum number of redirects that an operator follows before it backs off.
const MAX_REDIRECTS: usize = 2;
/// A request that was sent more often than this may be abandoned.
const SENDS_BEFORE_ABANDONING: usize = 3;

/// A request without a definite response.
#[derive(Clone, Debug)]
struct PendingRequest {
    request: Request,
    /// The send that awaits its response, and its time in milliseconds.
    sent: Option<(RequestId, u64)>,
    /// The number of redirects followed since the last backoff.
    redirects: usize,
    sends: usize,
    /// The earliest time of the next send in milliseconds.
    next_at: u64,
}

pub struct Operator {
    number: usize,
    pending: Option<PendingRequest>,
    /// The configuration version that the operator believes to be active.
    known_version: u64,
    /// Whether the next evacuation command for the operator's zone starts the evacuation or ends it.
    starts_evacuation_next: bool,
    /// Completed configuration commands, which the operator may send again at any time.
    past_requests: Vec<Request>,
    /// The number of requests that got a definite response or were abandoned.
    pub completed: usize,
    /// A stopped operator begins no new request, and does not abandon the pending one.
    pub is_stopped: bool,
}

impl Operator {
    pub fn new(number: usize) -> Self {
        Operator {
            number,
            pending: None,
            known_version: 0,
            starts_evacuation_next: true,
            past_requests: Vec::new(),
            completed: 0,
            is_stopped: false,
        }
    }

    pub fn is_idle(&self) -> bool {
        self.pending.is_none()
    }

    /// Handles the response to the pending request, or sends that request; begins a new one if none is
    /// pending.
    pub fn poll(&mut self, world: &mut World) {
        let Some(mut pending) = self.pending.take().or_else(|| self.begin_request(world)) else { return };
        if let Some((id, sent_at)) = pending.sent {
            match world.response_to(id).cloned() {
                Some(response) => {
                    pending.sent = None;
                    if self.handle_response(world, &mut pending, id, response) {
                        return;
                    }
                }
                None if world.now > sent_at + RESPONSE_TIMEOUT_MS => {
                    world.checker.record_given_up(id);
                    pending.sent = None;
                }
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

    /// Handles a response, or the end of the connection (`None`). Returns whether the request is complete.
    fn handle_response(
        &mut self,
        world: &mut World,
        pending: &mut PendingRequest,
        id: RequestId,
        response: Option<Response>,
    ) -> bool {
        match response {
            Some(Response::Redirect(to)) if pending.redirects < MAX_REDIRECTS => {
                pending.redirects += 1;
                let found =
                    (0..world.machines.len()).find(|machine| IpAddr::V4(address(*machine)) == to.ip());
                send(world, pending, found.expect("a redirect names the address of a machine"));
                false
            }
            Some(Response::ConfirmationRequired(_)) if pending.redirects < MAX_REDIRECTS => {
                pending.redirects += 1;
                let machine = world.target_machine(id);
                send(world, pending, machine);
                false
            }
            response if !response.as_ref().is_some_and(is_definite) => {
                pending.redirects = 0;
                pending.next_at = world.now + world.random.u64(1..MAX_BACKOFF_MS);
                false
            }
            response => {
                let Some(response) = response else { return false };
                self.update_knowledge(world, &pending.request, &response);
                self.completed += 1;
                true
            }
        }
    }

    /// Updates the known version or confirms an evacuation after a definite response, and records the
    /// completed command.
    fn update_knowledge(&mut self, world: &mut World, request: &Request, response: &Response) {
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
            self.past_requests.push(request.clone());
        }
    }

    /// Begins a random request; `None` if the operator is stopped, pauses, or cannot send a request of the
    /// chosen kind. The requests use only a few marks and versions, so that commands of different operators
    /// often conflict.
    fn begin_request(&mut self, world: &mut World) -> Option<PendingRequest> {
        if self.is_stopped || world.random.usize(0..4) == 0 {
            return None;
        }
        let request = match world.random.usize(0..20) {
            0..=9 => {
                let mark = ["a", "b", "c"][world.random.usize(0..3)];
                Request::valid(self.known_version, self.known_version + world.random.u64(1..3), mark)
            }
            10 => Request::invalid(self.known_version, world.random.usize(0..INVALID_KIND_COUNT)),
            11 => Request::valid(self.known_version.saturating_sub(1), self.known_version + 1, "late"),
            12..=14 => {
                self.past_requests.get(world.random.usize(0..self.past_requests.len().max(1))).cloned()?
            }
            15..=16 => self.next_evacuation(world)?,
            _ => Request::Read,
        };
        Some(PendingRequest { request, sent: None, redirects: 0, sends: 0, next_at: world.now })
    }

    /// Returns a command that starts or ends, in turn, the evacuation of the operator's own zone; `None`
    /// while an earlier command for this zone is open.
    fn next_evacuation(&mut self, world: &World) -> Option<Request> {
        let zone = format!("z{}", self.number);
        if world.checker.has_open_evacuation(&zone) {
            return None;
        }
        let active = self.starts_evacuation_next;
        self.starts_evacuation_next = !active;
        Some(Request::Evacuate { zone, active })
    }
}

fn send(world: &mut World, pending: &mut PendingRequest, machine: usize) {
    pending.sends += 1;
    let id = world.send_request(machine, &pending.request);
    pending.sent = Some((id, world.now));
}
