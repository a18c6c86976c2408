//! The memory that bodies of requests and answers may take together.

use std::cell::Cell;
use std::rc::Rc;

/// The part of a process's memory that bodies may take: 96 MB of 260.
const SHARE: f64 = 96.0 / 260.0;
const MEGABYTE: f64 = 1024.0 * 1024.0;

/// The memory for bodies.
#[derive(Clone)]
pub struct BodyBudget(Rc<Budget>);

struct Budget {
    limit: usize,
    taken: Cell<usize>,
}

/// Bytes that are taken, for as long as this lives.
pub struct HeldBytes {
    budget: BodyBudget,
    bytes: usize,
}

impl BodyBudget {
    /// For a process with so much memory.
    pub fn for_memory(megabytes: u32) -> Self {
        BodyBudget::new((f64::from(megabytes) * SHARE * MEGABYTE) as usize)
    }

    /// So many bytes.
    pub fn new(limit: usize) -> Self {
        BodyBudget(Rc::new(Budget { limit, taken: Cell::new(0) }))
    }

    /// Returns as many bytes as there are.
    pub fn limit(&self) -> usize {
        self.0.limit
    }

    /// Nothing yet.
    pub fn hold(&self) -> HeldBytes {
        HeldBytes { budget: self.clone(), bytes: 0 }
    }
}

impl HeldBytes {
    /// Takes memory up to so many bytes in all; false where there is not so much.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let Budget { limit, taken } = &*self.budget.0;
        let more = bytes.saturating_sub(self.bytes);
        if taken.get() + more > *limit {
            return false;
        }
        taken.set(taken.get() + more);
        self.bytes += more;
        true
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        let taken = &self.budget.0.taken;
        taken.set(taken.get() - self.bytes);
    }
}
