//! Random runs with an injected fault in every process. The checks must detect each fault.

use super::node::Fault;
use super::random::play;
use std::panic::catch_unwind;

/// The maximum number of runs in which a fault must be detected.
const RUNS: u64 = 1500;

/// Returns the first panic message that contains one of the `expected` texts; `None` if no run panics with
/// one. Other panics that the fault causes are printed and ignored.
fn first_failure(fault: Fault, expected: &[&str]) -> Option<String> {
    (0..RUNS).find_map(|seed| {
        let panic = catch_unwind(|| drop(play(seed, 3, fault))).err()?;
        let text = panic.downcast_ref::<String>().cloned();
        let message =
            text.unwrap_or_else(|| panic.downcast_ref::<&str>().copied().unwrap_or_default().into());
        println!("{fault:?}, run {seed}: {message}");
        expected.iter().any(|words| message.contains(words)).then_some(message)
    })
}

#[test]
fn commands_decided_without_the_lease_are_caught() {
    let expected = ["is older than", "older than", "is rejected", "was activated"];
    assert!(first_failure(Fault::NoLease, &expected).is_some());
}

#[test]
fn commands_decided_beside_open_ones_are_caught() {
    let expected = ["after a later command was answered", "changed without a command"];
    assert!(first_failure(Fault::BesideUnresolved, &expected).is_some());
}

#[test]
fn commands_that_overlap_are_caught() {
    assert!(first_failure(Fault::Overlapping, &["are acknowledged", "is not in effect"]).is_some());
}

#[test]
fn snapshots_without_the_history_are_caught() {
    assert!(first_failure(Fault::NoHistory, &["that was activated is rejected"]).is_some());
}
