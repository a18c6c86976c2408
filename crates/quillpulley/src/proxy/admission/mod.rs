//! Admission of requests to servers: a request gets capacity at once, or waits in a queue for a short time.
//!
//! Queued requests are admitted as soon as capacity becomes available, before requests that arrive later.

use crate::proxy::downstream::request::RequestContext;
use crate::proxy::upstream::upstream_request::UpstreamRequest;
use crate::proxy::upstream::upstreams::{CapacityListener, Upstreams};
use quillpulley_load_balancer::{Choice, QueueKey, QueueLimits, QueueTerms, RequestQueue, ServerKey};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep, timeout_at, Instant};

/// Interval at which non-empty queues are checked: some capacity becomes available with time alone, since the
/// rate of requests to a warming server is limited.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Error: no server has capacity for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoCapacity {
    /// The delay after which there may be capacity. `None` if it is not known.
    pub retry_after: Option<Duration>,
}

/// A request in a queue.
struct Waiter {
    context: Rc<RequestContext>,
    /// The servers that the request was already sent to, which are not chosen again.
    tried: Vec<ServerKey>,
    admitted: oneshot::Sender<UpstreamRequest>,
}

/// Admits requests to servers, and queues those for which there is no capacity.
pub struct Admission {
    upstreams: Rc<Upstreams>,
    limits: QueueLimits,
    queues: RefCell<HashMap<String, RequestQueue<Waiter>>>,
    /// Notified when a request is added while all queues are empty.
    queue_filled: Notify,
}

impl Admission {
    /// Creates empty queues. `limits` applies to the queue of each service.
    pub fn new(upstreams: Rc<Upstreams>, limits: QueueLimits) -> Rc<Self> {
        let queue_filled = Notify::new();
        let admission = Rc::new(Admission { upstreams, limits, queues: RefCell::default(), queue_filled });
        let listener: Rc<dyn CapacityListener> = admission.clone();
        admission.upstreams.set_capacity_listener(Rc::downgrade(&listener));
        admission
    }

    /// Returns an upstream request to a server that is not in `tried`. Without free capacity, the request
    /// waits in the queue of its service until the deadline `until` at the latest.
    ///
    /// # Errors
    /// [`NoCapacity`] if no server had capacity by then, no server is eligible, or the queue is full.
    pub async fn acquire(
        &self,
        context: &Rc<RequestContext>,
        tried: &[ServerKey],
        until: Instant,
    ) -> Result<UpstreamRequest, NoCapacity> {
        let retry_after = match self.upstreams.choose(&context.demand(), tried) {
            Choice::Send(server) => {
                return self.begin(context.clone(), server).ok_or(NoCapacity { retry_after: None })
            }
            Choice::Full { retry_after } => Some(retry_after),
            Choice::NoServer => return Err(NoCapacity { retry_after: None }),
        };
        let (admitted, upstream_request) = oneshot::channel();
        let waiter = Waiter { context: context.clone(), tried: tried.to_vec(), admitted };
        let key = self.enqueue(self.queue_terms(context, until), waiter).ok_or(NoCapacity { retry_after })?;
        let _guard = QueueGuard { admission: self, service: &context.decision.service, key };
        match timeout_at(until, upstream_request).await {
            Ok(Ok(upstream_request)) => Ok(upstream_request),
            Ok(Err(_)) | Err(_) => Err(NoCapacity { retry_after }),
        }
    }

    /// Admits queued requests of a service until there is no more capacity.
    pub fn admit(&self, service: &str) {
        loop {
            let mut chosen = None;
            let waiter = self.dequeue(service, |waiter| {
                chosen = self.choose_for(waiter);
                chosen.is_some()
            });
            let Some((waiter, server)) = waiter.zip(chosen) else { return };
            if let Some(upstream_request) = self.begin(waiter.context, server) {
                // If the receiver is gone, the upstream request is dropped here, which ends it.
                let _ = waiter.admitted.send(upstream_request);
            }
        }
    }

    /// Admits queued requests of all services.
    pub fn admit_all(&self) {
        let services: Vec<String> = self.queues.borrow().keys().cloned().collect();
        services.iter().for_each(|service| self.admit(service));
    }

    /// Periodically admits queued requests while there are any. Runs until it is dropped.
    pub async fn poll_queues(self: Rc<Self>) {
        loop {
            self.queue_filled.notified().await;
            while !self.queues_are_empty() {
                sleep(POLL_INTERVAL).await;
                self.admit_all();
            }
        }
    }

    fn queues_are_empty(&self) -> bool {
        self.queues.borrow().values().all(RequestQueue::is_empty)
    }

    fn enqueue(&self, terms: QueueTerms, waiter: Waiter) -> Option<QueueKey> {
        if self.queues_are_empty() {
            self.queue_filled.notify_one();
        }
        let service = waiter.context.decision.service.clone();
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(service).or_insert_with(|| RequestQueue::new(self.limits));
        // Displaced requests are dropped with their senders, which ends their wait.
        queue.push(self.upstreams.now(), terms, waiter).ok().map(|queued| queued.key)
    }

    fn dequeue(&self, service: &str, fits: impl FnMut(&Waiter) -> bool) -> Option<Waiter> {
        self.queues.borrow_mut().get_mut(service)?.next(self.upstreams.now(), fits)
    }

    fn remove(&self, service: &str, key: QueueKey) {
        let removed = self.queues.borrow_mut().get_mut(service).and_then(|queue| queue.remove(key));
        drop(removed);
    }

    fn choose_for(&self, waiter: &Waiter) -> Option<ServerKey> {
        match self.upstreams.choose(&waiter.context.demand(), &waiter.tried) {
            Choice::Send(server) => Some(server),
            Choice::Full { .. } | Choice::NoServer => None,
        }
    }

    fn begin(&self, context: Rc<RequestContext>, server: ServerKey) -> Option<UpstreamRequest> {
        let (peer, ticket) = self.upstreams.begin_request(server, &context.demand())?;
        Some(UpstreamRequest::new(self.upstreams.clone(), context, peer, ticket))
    }

    fn queue_terms(&self, context: &RequestContext, until: Instant) -> QueueTerms {
        QueueTerms {
            priority: context.decision.priority,
            target_latency: context.decision.target_latency,
            deadline: until.saturating_duration_since(self.upstreams.started_at()),
            bytes: context.request.body.len(),
        }
    }
}

impl CapacityListener for Admission {
    fn capacity_freed(self: Rc<Self>, service: &str) {
        self.admit(service);
    }
}

/// A queued request. Dropping the guard removes the request from the queue.
struct QueueGuard<'a> {
    admission: &'a Admission,
    service: &'a str,
    key: QueueKey,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.admission.remove(self.service, self.key);
    }
}
