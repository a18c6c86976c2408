//! One send of a request: its connection, and its account with the choice of servers.

use super::pool::{Target, Watch};
use super::request::Job;
use super::servers::Servers;
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Incoming};
use quillpulley_http1_client::{Failure, Link};
use quillpulley_load_balancer::{FailureKind, Outcome, Ticket};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::Instant;

/// The most bytes of an answer that is read whole before it is passed on.
const MAX_ANSWER: usize = 16 * 1024 * 1024;

/// A send that is under way. Dropped before it has ended, its connection is closed, and so the server stops.
pub struct Run {
    servers: Rc<Servers>,
    job: Rc<Job>,
    target: Target,
    ticket: Option<Ticket>,
    link: Option<Link>,
    watch: Option<Watch>,
}

impl Run {
    /// Of a request to a server, with a ticket of the choice of servers.
    pub fn new(servers: Rc<Servers>, job: Rc<Job>, target: Target, ticket: Ticket) -> Self {
        Run { servers, job, target, ticket: Some(ticket), link: None, watch: None }
    }

    /// Returns the server.
    pub fn target(&self) -> &Target {
        &self.target
    }

    /// Goes on with this connection. What may run again does not wait for a server that is gone.
    pub fn attach(&mut self, link: Link) -> &mut Link {
        let socket = self.job.plan.repeatable.then(|| link.socket().clone());
        self.watch = socket.map(|socket| self.servers.pool().watch(self.target.key, socket));
        self.link.insert(link)
    }

    /// Closes the connection.
    pub fn detach(&mut self) {
        self.watch = None;
        self.link = None;
    }

    /// Notes that the server has begun to work on it.
    pub fn started(&self) {
        if let Some(ticket) = &self.ticket {
            self.servers.balancer().borrow_mut().started(self.servers.now(), ticket);
        }
    }

    /// Returns the next piece of the answer's body; `None` once it is whole.
    pub fn poll_data(
        &mut self,
        cx: &mut Context<'_>,
        body: &mut Incoming,
    ) -> Poll<Option<Result<Bytes, Failure>>> {
        match &mut self.link {
            Some(link) => link.poll_data(cx, body),
            None => Poll::Ready(Some(Err(Failure::Broken))),
        }
    }

    /// Returns the whole body of the answer.
    pub async fn read_whole(&mut self, mut body: Incoming) -> Result<Bytes, Failure> {
        if body.size_hint().lower() > MAX_ANSWER as u64 {
            return Err(Failure::TooLarge);
        }
        let mut held = self.servers.bodies().hold();
        let mut first: Option<Bytes> = None;
        let mut all = BytesMut::new();
        while let Some(data) = poll_fn(|cx| self.poll_data(cx, &mut body)).await {
            let data = data?;
            let length = all.len() + first.as_ref().map_or(0, Bytes::len) + data.len();
            if length > MAX_ANSWER || !held.grow_to(length) {
                return Err(Failure::TooLarge);
            }
            match first.take() {
                None if all.is_empty() => first = Some(data),
                earlier => {
                    all.extend_from_slice(&earlier.unwrap_or_default());
                    all.extend_from_slice(&data);
                }
            }
        }
        Ok(first.unwrap_or_else(|| all.freeze()))
    }

    /// It has ended with a whole answer, and the server keeps the connection for so long, if at all.
    pub fn end_whole(mut self, outcome: Outcome, keep_alive: Option<Duration>) {
        self.watch = None;
        if let Some((link, time)) = self.link.take().zip(keep_alive) {
            let share = self.servers.connection_share(self.job.plan.max_connections);
            self.servers.pool().keep(self.target.key, link, time, share);
        }
        self.account(outcome);
    }

    /// It has ended; the connection is of no further use.
    pub fn end(mut self, outcome: Outcome) {
        self.detach();
        self.account(outcome);
    }

    fn account(&mut self, outcome: Outcome) {
        if let Some(ticket) = self.ticket.take() {
            self.servers.balancer().borrow_mut().end(self.servers.now(), ticket, outcome);
            if matches!(outcome, Outcome::Failed(_)) {
                self.servers.failures().note();
            }
            self.servers.place_came_free(&self.job.plan.service);
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        // The connection first: a server must not see the next send of a request while this one looks open.
        self.detach();
        let timed_out = Instant::now() >= self.job.request.due;
        self.account(if timed_out { Outcome::Failed(FailureKind::Timeout) } else { Outcome::ClientLeft });
    }
}
