//! The memory budget that bodies of requests and responses share.
//!
//! A reservation is held for as long as its body is in memory: for a response until its last byte was written
//! to the client. If memory is short, the shortage handler is called, which lets go of a client that does not
//! read.

use displaydoc::Display;
use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Fraction of the process's memory that bodies may use: 96 MB of 260 MB.
const MEMORY_FRACTION: f64 = 96.0 / 260.0;
const BYTES_PER_MEGABYTE: f64 = 1024.0 * 1024.0;
/// Size up to which a reservation may use the whole budget, in bytes.
const SMALL_RESERVATION_BYTES: usize = 64 * 1024;
/// Part of the budget that is left for small reservations: one in this many bytes.
const SMALL_RESERVATION_SHARE: usize = 8;
/// Interval at which a reservation that waits for memory calls the shortage handler again.
const SHORTAGE_INTERVAL: Duration = Duration::from_millis(100);

/// The memory budget does not have enough left: raise MemoryMb if this persists
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct OutOfMemory;

impl std::error::Error for OutOfMemory {}

/// The memory budget for bodies. Clones share the same budget.
#[derive(Clone)]
pub struct BufferBudget(Rc<Budget>);

/// Frees memory if that is possible, and returns whether memory will be free soon.
type ShortageHandler = Box<dyn Fn() -> bool>;

/// The state that the clones of a budget share, in bytes.
struct Budget {
    limit: usize,
    reserved: Cell<usize>,
    released: Notify,
    shortage_handler: OnceCell<ShortageHandler>,
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
        BufferBudget(Rc::new(Budget {
            limit,
            reserved: Cell::new(0),
            released: Notify::new(),
            shortage_handler: OnceCell::new(),
        }))
    }

    /// Sets the function that is called when a reservation does not fit. It frees memory if that is possible,
    /// and returns whether memory will be free soon. Only the first call has an effect.
    pub fn set_shortage_handler(&self, handler: impl Fn() -> bool + 'static) {
        let _ = self.0.shortage_handler.set(Box::new(handler));
    }

    /// Returns the size of the whole budget in bytes, including reserved bytes.
    pub fn limit(&self) -> usize {
        self.0.limit
    }

    /// Returns the number of reserved bytes.
    pub fn reserved(&self) -> usize {
        self.0.reserved.get()
    }

    /// Creates an empty reservation.
    pub fn reservation(&self) -> BufferReservation {
        BufferReservation { budget: self.clone(), bytes: 0 }
    }

    /// Returns how many bytes may be reserved in total when a single reservation has `bytes`.
    fn limit_for(&self, bytes: usize) -> usize {
        let Budget { limit, .. } = &*self.0;
        match bytes <= SMALL_RESERVATION_BYTES {
            true => *limit,
            false => limit - limit / SMALL_RESERVATION_SHARE,
        }
    }

    fn handle_shortage(&self) -> bool {
        self.0.shortage_handler.get().is_some_and(|handler| handler())
    }
}

impl BufferReservation {
    /// Grows the reservation to a total of `bytes`; never shrinks it. Returns false, and changes nothing, if
    /// the budget does not have enough left.
    pub fn try_grow_to(&mut self, bytes: usize) -> bool {
        let fits = self.grow_if_free(bytes);
        if !fits {
            self.budget.handle_shortage();
        }
        fits
    }

    /// Grows the reservation to a total of `bytes`, and waits for memory if the budget does not have enough
    /// left. The caller limits the time. A reservation that holds bytes already waits only for memory that
    /// will be free soon, so that reservations never wait for each other.
    ///
    /// # Errors
    /// [`OutOfMemory`] if the budget does not have enough left and waiting would not help.
    pub async fn grow_to(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        if bytes > self.budget.limit_for(bytes) {
            return Err(OutOfMemory);
        }
        let budget = self.budget.clone();
        while !self.grow_if_free(bytes) {
            let will_be_free = budget.handle_shortage();
            if self.bytes > 0 && !will_be_free {
                return Err(OutOfMemory);
            }
            let _ = timeout(SHORTAGE_INTERVAL, budget.0.released.notified()).await;
        }
        Ok(())
    }

    fn grow_if_free(&mut self, bytes: usize) -> bool {
        let reserved = &self.budget.0.reserved;
        let more = bytes.saturating_sub(self.bytes);
        if more > 0 && reserved.get() + more > self.budget.limit_for(bytes) {
            return false;
        }
        reserved.set(reserved.get() + more);
        self.bytes += more;
        true
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        let Budget { reserved, released, .. } = &*self.budget.0;
        reserved.set(reserved.get() - self.bytes);
        if self.bytes > 0 {
            released.notify_waiters();
        }
    }
}
