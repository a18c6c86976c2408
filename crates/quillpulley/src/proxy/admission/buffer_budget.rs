//! The memory that the bodies of requests and responses may take together.

use std::cell::Cell;
use std::rc::Rc;

/// The part of a process's memory that bodies may take: 96 MB of 260.
const MEMORY_FRACTION: f64 = 96.0 / 260.0;
const MEGABYTE: f64 = 1024.0 * 1024.0;

/// The memory for bodies.
#[derive(Clone)]
pub struct BufferBudget(Rc<Budget>);

struct Budget {
    limit: usize,
    reserved: Cell<usize>,
}

/// Bytes that are reserved, for as long as this exists.
pub struct BufferReservation {
    budget: BufferBudget,
    bytes: usize,
}

impl BufferBudget {
    /// Creates the budget of a process with so many megabytes of memory.
    pub fn for_memory(megabytes: u32) -> Self {
        BufferBudget::new((f64::from(megabytes) * MEMORY_FRACTION * MEGABYTE) as usize)
    }

    /// Creates a budget of this many bytes.
    pub fn new(limit: usize) -> Self {
        BufferBudget(Rc::new(Budget { limit, reserved: Cell::new(0) }))
    }

    /// Returns the whole budget, in bytes.
    pub fn limit(&self) -> usize {
        self.0.limit
    }

    /// Creates an empty reservation.
    pub fn reservation(&self) -> BufferReservation {
        BufferReservation { budget: self.clone(), bytes: 0 }
    }
}

impl BufferReservation {
    /// Grows the reservation to this many bytes. Returns false if the budget does not allow it.
    pub fn try_grow_to(&mut self, bytes: usize) -> bool {
        let Budget { limit, reserved } = &*self.budget.0;
        let more = bytes.saturating_sub(self.bytes);
        if reserved.get() + more > *limit {
            return false;
        }
        reserved.set(reserved.get() + more);
        self.bytes += more;
        true
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        let reserved = &self.budget.0.reserved;
        reserved.set(reserved.get() - self.bytes);
    }
}
