//! Guards for the resources that a request holds while it is open. Dropping a guard releases its resource.

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
    /// Reserves an id. Returns `None` if a request with the same id is open.
    pub fn reserve(ids: &'a RefCell<HashSet<HeaderValue>>, id: &HeaderValue) -> Option<Self> {
        ids.borrow_mut().insert(id.clone()).then(|| OpenId { ids, id: id.clone() })
    }
}

impl Drop for OpenId<'_> {
    fn drop(&mut self) {
        self.ids.borrow_mut().remove(&self.id);
    }
}

/// The bytes of a body, reserved from the budget for all bodies.
pub struct BodyReservation<'a> {
    reserved: &'a Cell<usize>,
    bytes: usize,
}

impl<'a> BodyReservation<'a> {
    /// Reserves bytes. Returns `None` if they would exceed the budget.
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

/// When dropped, notifies the host that the client closed its connection. The host ignores this if the request has its
/// final response.
pub struct ClientGuard {
    pub host: Rc<Host>,
    pub id: RequestId,
}

impl Drop for ClientGuard {
    fn drop(&mut self) {
        self.host.client_closed(self.id);
    }
}
