//! Random runs with an injected fault in every process. The checks must detect each fault.

use super::node::Fault;
use super::random::run_with_random_faults;
use std::panic::catch_unwind;

/// The maximum number of runs in which a fault must be detected.
const MAX_RUNS: u64 = 1500;

/// Returns the first panic message that contains one of the `expected` texts; `None` if no run panics with
/// one. Other panics that the fault causes are printed and ignored.
fn first_expected_failure(fault: Fault, expected: &[&str]) -> Option<String> {
    (0..MAX_RUNS).find_map(|seed| {
        let panic = catch_unwind(|| drop(run_with_random_faults(seed, 3, fault))).err()?;
        let text = panic.downcast_ref::<String>().cloned();
        let message =
            text.unwrap_or_else(|| panic.downcast_ref::<&str>().copied().unwrap_or_default().into());
        println!("{fault:?}, run {seed}: {message}");
        expected.iter().any(|words| message.contains(words)).then_some(message)
    })
}

#[test]
fn commands_decided_without_the_lease_are_detected() {
    let expected = ["is older than", "older than", "is rejected", "was activated"];
    assert!(first_expected_failure(Fault::NoLeaseCheck, &expected).is_some());
}

#[test]
fn commands_decided_before_earlier_ones_are_applied_are_detected() {
    let expected = ["after a later command was answered", "changed without a command"];
    assert!(first_expected_failure(Fault::IgnoreUnresolved, &expected).is_some());
}

#[test]
fn overlapping_commands_are_detected() {
    assert!(first_expected_failure(Fault::OverlappingCommands, &["are acknowledged", "is not in effect"])
        .is_some());
}

#[test]
fn evacuation_commands_that_nobody_confirms_are_detected() {
    assert!(first_expected_failure(Fault::NoConfirmation, &["changed without a command"]).is_some());
}

#[test]
fn snapshots_without_the_history_are_detected() {
    assert!(first_expected_failure(Fault::OmitHistory, &["that was activated is rejected"]).is_some());
}
