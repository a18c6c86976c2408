//! Processes with an injected fault: the checks have to catch each one.

use super::node::Fault;
use super::random::play;
use std::panic::catch_unwind;

const RUNS: u64 = 1500;

/// What the first run that breaks a claim about responses says.
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
    let expected = ["is older than", "older than", "is rejected", "came into force"];
    assert!(first_failure(Fault::NoLease, &expected).is_some());
}

#[test]
fn commands_decided_beside_open_ones_are_caught() {
    let expected = ["after a later command was answered", "changed without a command"];
    assert!(first_failure(Fault::BesideUnresolved, &expected).is_some());
}

#[test]
fn commands_that_overlap_are_caught() {
    assert!(first_failure(Fault::Overlapping, &["are acknowledged", "not active"]).is_some());
}

#[test]
fn snapshots_without_the_history_are_caught() {
    assert!(first_failure(Fault::NoHistory, &["that was accepted is rejected"]).is_some());
}
