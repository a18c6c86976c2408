//! Commands that are sent again, concurrent commands on the same base, and reads.

use super::{three, StableCluster, SEEDS};

#[test]
fn a_command_resent_after_a_failover_is_acknowledged_again() {
    three(
        "time | P                  | B        | C        | *
            0 | propose=1          |          |          |
          150 | acked=1 power-loss |          |          |
          200 |                    | resend=1 | resend=1 |
         2500 |                    |          |          | resend=1
         2700 |                    |          |          | acked=1 propose=2
         2900 | start              |          |          | acked=2 resend=1
         6000 | member             |          |          | resend=1
         6200 |                    |          |          | acked=1 acked=2",
    );
}

#[test]
fn a_resent_command_of_unknown_outcome_takes_effect_once() {
    for pause in [0, 10, 20, 40, 80] {
        three(&format!(
            "time | P         | B | C | *
                0 | propose=1 |   |   |
          {pause} | freeze    |   |   |
             2500 |           |   |   | resend=1
             2600 | resume    |   |   |
             2700 | resend=1  |   |   | acked=1 resend=1
             5500 | member    |   |   | resend=1
             6000 |           |   |   | acked=1",
        ));
    }
}

#[test]
fn one_of_two_commands_on_a_base_is_accepted_even_if_both_are_resent() {
    three(
        "time | P                           | B | C | *
            0 | propose=1 propose=2         |   |   |
          200 | acked=1 rejected=2 resend=2 |   |   |
          400 | rejected=2 power-loss       |   |   |
         2500 |                             |   |   | resend=2 resend=1
         2800 |                             |   |   | acked=1 rejected=2",
    );
}

#[test]
fn a_resent_command_is_recognized_after_a_compaction_and_a_restart() {
    for seed in 0..SEEDS {
        let mut cluster = StableCluster::new(seed, 1, ["P", "B", "C"]);
        cluster.run_timeline("time | P\n 0 | propose=1\n 200 | acked=1");
        for _ in 0..40 {
            let leader = cluster.simulation.leader().expect("no primary");
            cluster.simulation.propose(leader);
            cluster.simulation.run_for(100);
        }
        cluster.simulation.propose_again(0, 1);
        cluster.run_timeline(
            "time | P          | B          | C          | *
                0 | power-loss | power-loss | power-loss |
              200 | start      | start      | start      |
             2800 |            |            |            | propose=2
             3200 |            |            |            | acked=2",
        );
        let leader = cluster.simulation.leader().expect("no primary");
        cluster.simulation.propose_again(leader, 1);
        cluster.simulation.run_for(500);
        assert!(cluster.simulation.is_acknowledged(1));
        assert!(!cluster.simulation.checker.is_rejected(1));
    }
}

#[test]
fn a_read_received_before_a_freeze_gets_no_stale_response() {
    three(FREEZE_DURING_READ);
}

/// A machine receives a read and freezes, and another one becomes the primary before it resumes.
pub const FREEZE_DURING_READ: &str = "time | P           | B | C | *
                                   0 | read freeze |   |   |
                                2000 |             |   |   | propose=1
                                3000 | resume      |   |   | acked=1 read
                                3100 |             |   |   | propose=2
                                3300 |             |   |   | acked=2";
