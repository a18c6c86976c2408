//! The order of scheduled events.

use quickcheck::quickcheck;
use quillpulley_simulation::EventQueue;

#[test]
fn an_event_happens_at_its_time_and_not_before() {
    let mut queue = EventQueue::default();
    queue.push(20, "b");
    queue.push(10, "a");
    assert_eq!(queue.pop_until(9), None);
    assert_eq!(queue.pop_until(10), Some((10, "a")));
    assert_eq!(queue.pop_until(19), None);
    assert_eq!(queue.pop_until(100), Some((20, "b")));
    assert_eq!(queue.pop_until(100), None);
}

quickcheck! {
    /// Events happen in the order of their times; events of the same time in the order in which they were scheduled.
    fn events_happen_in_order(times: Vec<u8>) -> bool {
        let mut queue = EventQueue::default();
        for (number, at) in times.iter().enumerate() {
            queue.push(u64::from(*at), number);
        }
        let mut expected: Vec<(u64, usize)> =
            times.iter().enumerate().map(|(number, at)| (u64::from(*at), number)).collect();
        expected.sort();
        let happened: Vec<(u64, usize)> = std::iter::from_fn(|| queue.pop_until(u64::MAX)).collect();
        happened == expected
    }
}
