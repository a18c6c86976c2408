//! The open requests by id, to detect duplicates.

use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

/// The ids of all open requests of this proxy.
#[derive(Default)]
pub struct OpenRequests {
    ids: RefCell<HashSet<HeaderValue>>,
}

impl OpenRequests {
    /// Registers a request. Returns `None` if a request with the same id is open.
    pub fn open(self: &Rc<Self>, id: &HeaderValue) -> Option<OpenRequest> {
        let is_new = self.ids.borrow_mut().insert(id.clone());
        is_new.then(|| OpenRequest { requests: self.clone(), id: id.clone() })
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

/// An open request. Dropping it removes its id.
pub struct OpenRequest {
    requests: Rc<OpenRequests>,
    id: HeaderValue,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.requests.ids.borrow_mut().remove(&self.id);
    }
}
