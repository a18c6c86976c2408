//! The memory budget that bodies of requests and responses share.

use std::cell::Cell;
use std::rc::Rc;

/// Fraction of the process's memory that bodies may use: 96 MB of 260 MB.
const MEMORY_FRACTION: f64 = 96.0 / 260.0;
const BYTES_PER_MEGABYTE: f64 = 1024.0 * 1024.0;

/// The memory budget for bodies. Clones share the same budget.
#[derive(Clone)]
pub struct BufferBudget(Rc<Budget>);

/// The state that the clones of a budget share, in bytes.
struct Budget {
    limit: usize,
    reserved: Cell<usize>,
}

/// Bytes reserved from a budget, which are released when the reservation is dropped.
pub struct BufferReservation {
    budget: BufferBudget,
    bytes: usize,
}

impl BufferBudget {
    /// Creates the budget of a process that may use this many megabytes of memory.
    pub fn for_memory(megabytes: u32) -> Self {
        BufferBudget::new((f64::from(megabytes) * MEMORY_FRACTION * BYTES_PER_MEGABYTE) as usize)
    }

    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        BufferBudget(Rc::new(Budget { limit, reserved: Cell::new(0) }))
    }

    /// Returns the size of the whole budget in bytes, including reserved bytes.
    pub fn limit(&self) -> usize {
        self.0.limit
    }

    /// Creates an empty reservation.
    pub fn reservation(&self) -> BufferReservation {
        BufferReservation { budget: self.clone(), bytes: 0 }
    }
}

impl BufferReservation {
    /// Grows the reservation to a total of `bytes`; never shrinks it. Returns false, and changes nothing, if
    /// the budget does not have enough left.
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
