//! Tests of the memory budget for bodies: who waits, who is rejected, and when the shortage handler is called.

use quillpulley::buffer_budget::{BufferBudget, BufferReservation, OutOfMemory};
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use tokio::runtime::Builder;

/// A budget of which large reservations may use 700,000 bytes.
const LIMIT_BYTES: usize = 800_000;

fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_time().build().expect("a runtime");
    runtime.block_on(test);
}

fn reserve(budget: &BufferBudget, bytes: usize) -> BufferReservation {
    let mut reservation = budget.reservation();
    assert!(reservation.try_grow_to(bytes));
    reservation
}

#[test]
fn a_reservation_is_released_when_it_is_dropped() {
    let budget = BufferBudget::new(LIMIT_BYTES);
    let reservation = reserve(&budget, 500_000);
    assert_eq!(budget.reserved(), 500_000);
    drop(reservation);
    assert_eq!(budget.reserved(), 0);
}

/// Guards against short answers that find no memory because clients do not read their long ones.
#[test]
fn a_part_of_the_budget_is_left_for_small_reservations() {
    let budget = BufferBudget::new(LIMIT_BYTES);
    let _large = reserve(&budget, 700_000);
    assert!(!budget.reservation().try_grow_to(70_000));
    let _small = reserve(&budget, 60_000);
}

#[test]
fn a_reservation_waits_for_memory() {
    run(async {
        let budget = BufferBudget::new(LIMIT_BYTES);
        let first = reserve(&budget, 500_000);
        let mut second = budget.reservation();
        let mut growing = pin!(second.grow_to(400_000));
        let is_ready = poll_fn(|cx| Poll::Ready(growing.as_mut().poll(cx).is_ready())).await;
        assert!(!is_ready);
        drop(first);
        assert_eq!(growing.await, Ok(()));
        assert_eq!(budget.reserved(), 400_000);
    });
}

#[test]
fn a_reservation_beyond_the_budget_is_rejected_at_once() {
    run(async {
        let budget = BufferBudget::new(LIMIT_BYTES);
        assert_eq!(budget.reservation().grow_to(LIMIT_BYTES).await, Err(OutOfMemory));
    });
}

/// Guards against answers that wait for each other for ever.
#[test]
fn a_reservation_that_holds_memory_does_not_wait_for_others() {
    run(async {
        let budget = BufferBudget::new(LIMIT_BYTES);
        let _first = reserve(&budget, 400_000);
        let mut second = reserve(&budget, 200_000);
        assert_eq!(second.grow_to(400_000).await, Err(OutOfMemory));
        assert_eq!(budget.reserved(), 600_000);
    });
}

/// Guards against clients that do not read and keep the memory that others need.
#[test]
fn a_shortage_is_reported_until_there_is_enough_memory() {
    run(async {
        let budget = BufferBudget::new(LIMIT_BYTES);
        let unread = Rc::new(RefCell::new(vec![reserve(&budget, 300_000), reserve(&budget, 300_000)]));
        let calls = Rc::new(Cell::new(0));
        let counted = calls.clone();
        budget.set_shortage_handler(move || {
            counted.set(counted.get() + 1);
            unread.borrow_mut().pop().is_some()
        });
        let mut reservation = budget.reservation();
        assert_eq!(reservation.grow_to(700_000).await, Ok(()));
        assert_eq!((calls.get(), budget.reserved()), (2, 700_000));
    });
}
