//! Tests of the tests: the invariants have to detect each fault that is injected into the replicas.

use quillpulley_replication::Faults;
use std::panic::{catch_unwind, AssertUnwindSafe};

use crate::harness::{DiskMode, Simulation, SimulationOptions};
use crate::random::{check, Schedule};
use crate::scenarios::{operators, StableCluster};
use crate::seeded;

/// The maximum number of random schedules.
const SCHEDULES: u64 = 2000;

/// Returns the message of the first schedule that violates a safety invariant; `None` if there is none.
fn first_failure(options: &SimulationOptions) -> Option<String> {
    (0..SCHEDULES).find_map(|seed| {
        let schedule = Schedule::from_seed(seed);
        let run = AssertUnwindSafe(|| check(&schedule, 3, options.clone()));
        let panic = catch_unwind(run).err()?;
        let text = panic.downcast_ref::<String>().cloned();
        let message =
            text.unwrap_or_else(|| panic.downcast_ref::<&str>().copied().unwrap_or_default().into());
        println!("schedule {seed}: {message}");
        is_about_safety(&message).then_some(message)
    })
}

/// Returns whether a message reports the violation of a safety invariant, and not only of liveness.
fn is_about_safety(message: &str) -> bool {
    ["lost", "two", "gap", "differ", "goes back", "lacks", "without the lease"]
        .iter()
        .any(|word| message.contains(word))
}

/// Returns the options of a simulation with faults that the invariants on states, disks and leases have to
/// detect.
fn with_faults(faults: Faults) -> SimulationOptions {
    SimulationOptions { faults, checks_messages: false, ..SimulationOptions::default() }
}

#[test]
fn a_wiped_node_that_keeps_its_identity_is_detected() {
    let options = SimulationOptions { keeps_identity: true, ..SimulationOptions::default() };
    assert!(first_failure(&options).is_some());
}

#[test]
fn an_acknowledgement_by_a_majority_of_the_members_is_detected() {
    let options = with_faults(Faults { acknowledge_by_majority: true, ..Faults::default() });
    assert!(first_failure(&options).is_some());
}

#[test]
fn a_primary_that_does_not_check_its_lease_is_detected() {
    let options = with_faults(Faults { ignore_own_lease: true, ..Faults::default() });
    assert!(first_failure(&options).is_some());
}

#[test]
fn a_promise_while_another_lease_is_valid_is_detected() {
    let options = with_faults(Faults { promise_under_lease: true, ..Faults::default() });
    assert!(first_failure(&options).is_some());
}

/// C was down for so long that it receives a whole snapshot during an election, and its disk hangs before the
/// snapshot is stored. B, which holds the state, starts only then. A view of P and C may be formed only once
/// C has stored the snapshot.
fn election_with_an_install(seed: u64, faults: Faults) {
    let mut simulation = Simulation::first_start(SimulationOptions { seed, ..with_faults(faults) }, 3, 3);
    assert!(simulation.run_until(6000, |simulation| simulation.members().len() == 3));
    let primary = simulation.leader().expect("no primary");
    let (backup, away) = ((primary + 1) % 3, (primary + 2) % 3);
    simulation.kill(away, false);
    for _ in 0..30 {
        let command = simulation.propose(primary);
        assert!(simulation.run_until(3000, |simulation| simulation.is_acknowledged(command)));
    }
    simulation.kill(primary, false);
    simulation.kill(backup, false);
    simulation.start(primary);
    simulation.start(away);
    assert!(simulation.run_until(4000, |simulation| simulation.is_installing(away)));
    simulation.set_disk(away, DiskMode::Hangs);
    simulation.start(backup);
    simulation.run_for(1000);
}

#[test]
fn an_install_acknowledged_before_it_is_durable_is_detected() {
    let faults = Faults { install_before_complete: true, ..Faults::default() };
    let is_detected = |seed| {
        let run = AssertUnwindSafe(|| election_with_an_install(seed, faults));
        let Err(panic) = catch_unwind(run) else { return false };
        let message = panic.downcast_ref::<String>().cloned().unwrap_or_default();
        println!("seed {seed}: {message}");
        message.contains("lost") || message.contains("lacks")
    };
    assert!((0..40).any(is_detected));
    (0..40).for_each(|seed| election_with_an_install(seed, Faults::default()));
}

#[test]
fn a_reply_before_the_record_is_durable_is_detected() {
    let options = with_faults(Faults { answer_before_sync: true, ..Faults::default() });
    assert!(first_failure(&options).is_some());
}

/// The maximum number of long runs.
const RUNS: u64 = 40;
const STEPS: u64 = 1000;

/// Returns the message of the first long run that violates a safety invariant; `None` if there is none.
fn first_failure_of_a_long_run(faults: Faults) -> Option<String> {
    (0..RUNS).find_map(|seed| {
        let message = seeded::failure(seed, STEPS, &with_faults(faults))?;
        println!("run {seed}: {message}");
        is_about_safety(&message).then_some(message)
    })
}

#[test]
fn a_learner_that_becomes_a_member_too_early_is_detected() {
    let faults = Faults { count_learner_early: true, ..Faults::default() };
    assert!(first_failure_of_a_long_run(faults).is_some_and(|message| message.contains("lost")));
}

#[test]
fn a_replacement_of_all_witnesses_at_once_is_detected() {
    let faults = Faults { replace_all_witnesses: true, ..Faults::default() };
    assert!(first_failure_of_a_long_run(faults).is_some());
}

#[test]
fn a_primary_elected_with_a_stale_state_is_detected() {
    let faults = Faults { elect_from_stale_snapshot: true, ..Faults::default() };
    assert!(first_failure_of_a_long_run(faults).is_some());
}

#[test]
fn a_read_without_a_lease_check_is_detected() {
    let faults = Faults { answer_without_lease_check: true, ..Faults::default() };
    let message = first_failure_of_a_long_run(faults);
    assert!(message.is_some_and(|message| message.contains("a read response")));
    let freeze_during_read = || {
        StableCluster::with(with_faults(faults), ["P", "B", "C"]).run_timeline(operators::FREEZE_DURING_READ)
    };
    let panic = catch_unwind(freeze_during_read).expect_err("a stale read response is not detected");
    let message = panic.downcast_ref::<String>().cloned().unwrap_or_default();
    assert!(message.contains("a read response lacks the acknowledged command"), "{message}");
}

/// Returns the message of the first long run that violates a safety invariant, or that sends a message before
/// its requirement is durable, or that holds a lease without enough grants; `None` if there is none.
fn first_violation(faults: Faults) -> Option<String> {
    let options = SimulationOptions { faults, ..SimulationOptions::default() };
    (0..RUNS).find_map(|seed| {
        let message = seeded::failure(seed, STEPS, &options)?;
        println!("run {seed}: {message}");
        let violates_rule =
            ["before its requirement is durable", "holds a lease"].iter().any(|rule| message.contains(rule));
        (violates_rule || is_about_safety(&message)).then_some(message)
    })
}

#[test]
fn a_witness_that_forgets_its_lease_in_a_restart_is_detected() {
    let faults = Faults { forget_lease_at_restart: true, ..Faults::default() };
    assert!(first_violation(faults).is_some());
}

#[test]
fn a_claim_used_before_it_is_durable_is_detected() {
    let faults = Faults { prepare_before_claim: true, ..Faults::default() };
    assert!(
        first_violation(faults).is_some_and(|message| message.contains("before its requirement is durable"))
    );
}
