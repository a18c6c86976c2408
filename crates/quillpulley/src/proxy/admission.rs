//! Places at servers: a request gets one at once, or waits for one for a short time.
//!
//! Whoever waits is given a place as soon as there is one, before anybody who comes later asks.

use super::pool::Target;
use super::request::Job;
use super::run::Run;
use super::servers::{PlaceListener, Servers};
use quillpulley_load_balancer::{Balancer, Choice, ServerKey, Terms, Waiting, WaitingKey, WaitingLimits};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep, timeout_at, Instant};

/// Some places come free with time alone: cold servers get their requests one by one.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// There is no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoPlace {
    /// When there may be one, if anything is known of it.
    pub retry_after: Option<Duration>,
}

/// A request that waits.
struct Waiter {
    job: Rc<Job>,
    /// Servers that it was sent to.
    tried: Vec<ServerKey>,
    granted: oneshot::Sender<Run>,
}

/// Gives places at servers, and holds the requests that wait for one.
pub struct Admission {
    servers: Rc<Servers>,
    limits: WaitingLimits,
    services: RefCell<HashMap<String, Waiting<Waiter>>>,
    /// Something waits where nothing did.
    begun: Notify,
}

impl Admission {
    /// None wait for places at these servers; so many may, for each service.
    pub fn new(servers: Rc<Servers>, limits: WaitingLimits) -> Rc<Self> {
        let begun = Notify::new();
        let admission = Rc::new(Admission { servers, limits, services: RefCell::default(), begun });
        let listener: Rc<dyn PlaceListener> = admission.clone();
        admission.servers.set_listener(Rc::downgrade(&listener));
        admission
    }

    fn is_idle(&self) -> bool {
        self.services.borrow().values().all(Waiting::is_empty)
    }

    fn push(&self, now: Duration, terms: Terms, waiter: Waiter) -> Option<WaitingKey> {
        if self.is_idle() {
            self.begun.notify_one();
        }
        let service = waiter.job.plan.service.clone();
        let mut services = self.services.borrow_mut();
        let waiting = services.entry(service).or_insert_with(|| Waiting::new(self.limits));
        // Those who make room find their sender gone.
        waiting.push(now, terms, waiter).ok().map(|queued| queued.key)
    }

    fn remove(&self, service: &str, key: WaitingKey) {
        let removed = self.services.borrow_mut().get_mut(service).and_then(|waiting| waiting.remove(key));
        drop(removed);
    }

    fn next(&self, now: Duration, service: &str, fits: impl FnMut(&Waiter) -> bool) -> Option<Waiter> {
        self.services.borrow_mut().get_mut(service)?.next(now, fits)
    }
}

/// A request's place among those that wait, for as long as this lives.
struct Queued<'a> {
    admission: &'a Admission,
    service: &'a str,
    key: WaitingKey,
}

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        self.admission.remove(self.service, self.key);
    }
}

impl PlaceListener for Admission {
    fn place_came_free(self: Rc<Self>, service: &str) {
        self.admit(service);
    }
}

impl Admission {
    /// Returns a place at a server, other than those that were tried, at once or until then.
    pub async fn place(&self, job: &Rc<Job>, tried: &[ServerKey], until: Instant) -> Result<Run, NoPlace> {
        let choice = self.servers.balancer().borrow_mut().choose(self.servers.now(), &job.demand(), tried);
        let retry_after = match choice {
            Choice::Send(key) => return self.begin(job.clone(), key).ok_or(NoPlace { retry_after: None }),
            Choice::Full { retry_after } => Some(retry_after),
            Choice::NoServer => return Err(NoPlace { retry_after: None }),
        };
        let (granted, place) = oneshot::channel();
        let waiter = Waiter { job: job.clone(), tried: tried.to_vec(), granted };
        let key = self.push(self.servers.now(), self.terms(job, until), waiter);
        let key = key.ok_or(NoPlace { retry_after })?;
        let _queued = Queued { admission: self, service: &job.plan.service, key };
        match timeout_at(until, place).await {
            Ok(Ok(run)) => Ok(run),
            Ok(Err(_)) | Err(_) => Err(NoPlace { retry_after }),
        }
    }

    /// Gives places at servers of a service to those who wait.
    pub fn admit(&self, service: &str) {
        loop {
            let mut chosen = None;
            let waiter = self.next(self.servers.now(), service, |waiter| {
                chosen = choose(&mut self.servers.balancer().borrow_mut(), self.servers.now(), waiter);
                chosen.is_some()
            });
            let Some((waiter, key)) = waiter.zip(chosen) else { return };
            if let Some(run) = self.begin(waiter.job, key) {
                // A run that nobody takes any more ends by itself.
                let _ = waiter.granted.send(run);
            }
        }
    }

    /// Gives places at all servers to those who wait.
    pub fn admit_all(&self) {
        let services: Vec<String> = self.services.borrow().keys().cloned().collect();
        services.iter().for_each(|service| self.admit(service));
    }

    /// Looks again while somebody waits, for as long as it is polled.
    pub async fn keep_admitting(&self) {
        loop {
            self.begun.notified().await;
            while !self.is_idle() {
                sleep(LOOK_AGAIN).await;
                self.admit_all();
            }
        }
    }

    fn begin(&self, job: Rc<Job>, key: ServerKey) -> Option<Run> {
        let mut balancer = self.servers.balancer().borrow_mut();
        let info = balancer.server(key)?;
        let target = Target { key, id: info.id.clone(), address: info.address };
        let ticket = balancer.begin(self.servers.now(), key, &job.demand());
        drop(balancer);
        Some(Run::new(self.servers.clone(), job, target, ticket))
    }

    fn terms(&self, job: &Job, until: Instant) -> Terms {
        Terms {
            priority: job.plan.priority,
            objective: job.plan.objective,
            due: until.saturating_duration_since(self.servers.started()),
            bytes: job.request.body.len(),
        }
    }
}

fn choose(balancer: &mut Balancer, now: Duration, waiter: &Waiter) -> Option<ServerKey> {
    match balancer.choose(now, &waiter.job.demand(), &waiter.tried) {
        Choice::Send(key) => Some(key),
        Choice::Full { .. } | Choice::NoServer => None,
    }
}
