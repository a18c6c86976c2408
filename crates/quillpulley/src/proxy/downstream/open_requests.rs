//! The requests that are open, by their ids.

use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::HashSet;
use std::future::Future;
use std::rc::Rc;
use tokio::task::{spawn_local, AbortHandle};

/// The ids of open requests.
#[derive(Default)]
pub struct OpenRequests {
    ids: RefCell<HashSet<HeaderValue>>,
}

impl OpenRequests {
    /// Opens a request. Returns none if one with its id is open.
    pub fn open(self: &Rc<Self>, id: &HeaderValue) -> Option<OpenRequest> {
        let is_new = self.ids.borrow_mut().insert(id.clone());
        is_new.then(|| OpenRequest { requests: self.clone(), id: id.clone(), task: None })
    }

    /// Returns the number of open requests.
    pub fn len(&self) -> usize {
        self.ids.borrow().len()
    }

    /// Returns whether no request is open.
    pub fn is_empty(&self) -> bool {
        self.ids.borrow().is_empty()
    }
}

/// A request that is open, for as long as this exists.
pub struct OpenRequest {
    requests: Rc<OpenRequests>,
    id: HeaderValue,
    task: Option<AbortHandle>,
}

impl OpenRequest {
    /// Runs a task for as long as the request is open.
    pub fn run_while_open(&mut self, task: impl Future<Output = ()> + 'static) {
        self.task = Some(spawn_local(task).abort_handle());
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.requests.ids.borrow_mut().remove(&self.id);
        self.task.iter().for_each(AbortHandle::abort);
    }
}
