//! Orders that are sent again, orders on one base, and questions about what is in force.

use super::{three, Settled, SEEDS};

#[test]
fn an_order_whose_acknowledgement_was_lost_is_sent_again_across_a_failover() {
    three(
        "time | P             | B       | C       | *
            0 | order=1       |         |         |
          150 | acked=1 power |         |         |
          200 |               | again=1 | again=1 |
         2500 |               |         |         | again=1
         2700 |               |         |         | acked=1 order=2
         2900 | start         |         |         | acked=2 again=1
         6000 | member        |         |         | again=1
         6200 |               |         |         | acked=1 acked=2",
    );
}

#[test]
fn an_order_of_unknown_fate_that_is_sent_again_takes_effect_once() {
    for pause in [0, 10, 20, 40, 80] {
        three(&format!(
            "time | P       | B | C | *
                0 | order=1 |   |   |
          {pause} | freeze  |   |   |
             2500 |         |   |   | again=1
             2600 | wake    |   |   |
             2700 | again=1 |   |   | acked=1 again=1
             5500 | member  |   |   | again=1
             6000 |         |   |   | acked=1",
        ));
    }
}

#[test]
fn of_two_commands_on_one_base_one_wins_also_when_they_are_sent_again() {
    three(
        "time | P                           | B | C | *
            0 | order=1 order=2             |   |   |
          200 | acked=1 refused=2 again=2   |   |   |
          400 | refused=2 power             |   |   |
         2500 |                             |   |   | again=2 again=1
         2800 |                             |   |   | acked=1 refused=2",
    );
}

#[test]
fn an_order_is_recognized_after_a_compaction_and_a_restart_of_all() {
    for seed in 0..SEEDS {
        let mut settled = Settled::new(seed, 1, ["P", "B", "C"]);
        settled.play("time | P\n 0 | order=1\n 200 | acked=1");
        for _ in 0..40 {
            let leader = settled.world.leader().expect("a primary");
            settled.world.propose(leader);
            settled.world.run_for(100);
        }
        settled.world.propose_again(0, 1);
        settled.play(
            "time | P     | B     | C     | *
                0 | power | power | power |
              200 | start | start | start |
             2800 |       |       |       | order=2
             3200 |       |       |       | acked=2",
        );
        let leader = settled.world.leader().expect("a primary");
        settled.world.propose_again(leader, 1);
        settled.world.run_for(500);
        assert!(settled.world.is_acknowledged(1));
        assert!(!settled.world.checker.is_refused(1));
    }
}

#[test]
fn a_question_that_comes_before_a_process_stands_still_gets_no_answer_from_the_past() {
    three(STANDS_STILL);
}

/// A question comes, the process stands still, and another takes over before it wakes.
pub const STANDS_STILL: &str = "time | P          | B | C | *
                                   0 | ask freeze |   |   |
                                2000 |            |   |   | order=1
                                3000 | wake       |   |   | acked=1 ask
                                3100 |            |   |   | order=2
                                3300 |            |   |   | acked=2";
