//! Machines whose clocks stop while they are suspended, as those of a virtual machine that is paused or
//! migrated to another host.

use std::panic::{catch_unwind, AssertUnwindSafe};

use super::{three, StableCluster, SEEDS};
use crate::harness::SimulationOptions;

/// The primary is paused until another one leads, and resumes with most of its lease left by its own clock.
const REPLACED_WHILE_PAUSED: &str = "
    time | P        | B | C | *
       0 | pause    |   |   |
    2500 |          |   |   | propose=1
    2800 |          |   |   | acked=1
    2800 | resume   |   |   |
    2800 | no-lease |   |   |
    4000 | deposed  |   |   |";

#[test]
fn a_primary_whose_clock_was_stopped_has_no_lease_when_it_resumes() {
    three(REPLACED_WHILE_PAUSED);
}

#[test]
fn a_primary_that_misses_a_clock_jump_is_detected() {
    let is_detected = |seed| {
        let options = SimulationOptions { seed, notices_clock_jumps: false, ..SimulationOptions::default() };
        let run = || StableCluster::with(options, ["P", "B", "C"]).run_timeline(REPLACED_WHILE_PAUSED);
        catch_unwind(AssertUnwindSafe(run)).is_err()
    };
    assert!((0..SEEDS).all(is_detected));
}

#[test]
fn a_primary_that_was_not_replaced_regains_its_lease_in_a_round_trip() {
    three(
        "time | P               | B       | C       | *
            0 | pause           |         |         |
          300 | resume          |         |         |
          300 | no-lease        |         |         |
          355 | leads propose=1 |         |         |
          555 | acked=1         | hints:P | hints:P |
         5000 | leads           | hints:P | hints:P |",
    );
}

#[test]
fn a_command_in_flight_during_a_clock_jump_is_acknowledged() {
    three(
        "time | P                        | B | C
            0 | propose=1 pause resume   |   |
          200 | leads acked=1            |   |",
    );
}
