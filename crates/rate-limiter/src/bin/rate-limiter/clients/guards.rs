//! What a request holds while it is open.

use crate::host::Host;
use hyper::header::HeaderValue;
use rate_limiter::RequestId;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;

/// The id of a request, reserved while the request is open.
pub struct OpenId<'a> {
    ids: &'a RefCell<HashSet<HeaderValue>>,
    id: HeaderValue,
}

impl<'a> OpenId<'a> {
    /// Reserves an id. Returns none if a request with it is open.
    pub fn reserve(ids: &'a RefCell<HashSet<HeaderValue>>, id: &HeaderValue) -> Option<Self> {
        ids.borrow_mut().insert(id.clone()).then(|| OpenId { ids, id: id.clone() })
    }
}

impl Drop for OpenId<'_> {
    fn drop(&mut self) {
        self.ids.borrow_mut().remove(&self.id);
    }
}

/// Bytes of a body, reserved from the budget of all bodies.
pub struct BodyReservation<'a> {
    reserved: &'a Cell<usize>,
    bytes: usize,
}

impl<'a> BodyReservation<'a> {
    /// Reserves bytes. Returns none if the budget does not allow it.
    pub fn reserve(reserved: &'a Cell<usize>, bytes: usize, budget: usize) -> Option<Self> {
        let total = Some(reserved.get() + bytes).filter(|total| *total <= budget)?;
        reserved.set(total);
        Some(BodyReservation { reserved, bytes })
    }
}

impl Drop for BodyReservation<'_> {
    fn drop(&mut self) {
        self.reserved.set(self.reserved.get() - self.bytes);
    }
}

/// Notifies the host that a client closed its connection, if it is dropped before the final response.
pub struct ClientGuard {
    pub host: Rc<Host>,
    pub id: RequestId,
}

impl Drop for ClientGuard {
    fn drop(&mut self) {
        self.host.client_closed(self.id);
    }
}
