//! The queue of scheduled events.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// The scheduled events of a simulation. Events of the same time happen in the order in which they were scheduled, so that
/// what is sent over a link arrives in order.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Scheduled<E>>,
    /// The number of events scheduled so far.
    count: u64,
}

#[derive(Debug)]
struct Scheduled<E> {
    at: u64,
    number: u64,
    event: E,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue { heap: BinaryHeap::new(), count: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event at a time.
    pub fn push(&mut self, at: u64, event: E) {
        self.count += 1;
        self.heap.push(Scheduled { at, number: self.count, event });
    }

    /// Removes and returns the next event with its time, if it is not later than `end`.
    pub fn pop_until(&mut self, end: u64) -> Option<(u64, E)> {
        let is_due = self.heap.peek().is_some_and(|next| next.at <= end);
        let next = if is_due { self.heap.pop() } else { None };
        next.map(|next| (next.at, next.event))
    }
}

impl<E> Ord for Scheduled<E> {
    /// The earliest event is the greatest, as a binary heap returns the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Scheduled<E> {}
