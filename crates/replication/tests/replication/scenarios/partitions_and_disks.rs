//! Frozen or partitioned machines, and disks that hang or are full.

use super::{five, three};

#[test]
fn a_frozen_primary_has_no_lease_when_it_resumes() {
    three(
        "time | P                  | B | C | *
            0 | freeze             |   |   |
         2000 |                    |   |   | propose=1
         3000 | resume             |   |   | acked=1
         3000 | propose=2 no-lease |   |   |
         3200 | not-acked=2        |   |   |
         5000 | follows member     |   |   | propose=3
         5200 |                    |   |   | acked=3",
    );
}

#[test]
fn a_primary_frozen_with_a_command_in_flight_does_not_acknowledge_it() {
    three(
        "time | P                | B | C | *
            0 | propose=1 freeze |   |   |
         2500 |                  |   |   | propose=2
         2600 | resume           |   |   |
         3500 | not-acked=1      |   |   | acked=2",
    );
}

#[test]
fn a_partitioned_primary_is_replaced_and_rejoins() {
    three(
        "time | P                                   | B | C | *
            0 | partition                           |   |   |
          500 | propose=1                           |   |   |
         2200 | no-lease                            |   |   | propose=2
         2500 |                                     |   |   | acked=2
         4000 | heal                                |   |   |
         6500 | follows member not-acked=1 witness  |   |   | propose=3
         6700 |                                     |   |   | acked=3",
    );
}

#[test]
fn a_primary_that_receives_nothing_steps_down_and_prevents_no_election() {
    three(
        "time | P              | B | C | *
            0 | partition-in   |   |   |
         4000 | no-lease       |   |   | propose=1
         4300 |                |   |   | acked=1
         5000 | heal           |   |   |
         7000 | follows member |   |   |",
    );
}

#[test]
fn a_primary_whose_messages_are_lost_is_replaced() {
    three(
        "time | P              | B | C | *
            0 | partition-out  |   |   |
         2200 | no-lease       |   |   | propose=1
         2400 |                |   |   | acked=1
         5000 | heal           |   |   |
         7000 | follows member |   |   |",
    );
}

#[test]
fn a_backup_partitioned_from_the_primary_only_does_not_depose_it() {
    three(
        "time | P         | B              | C       | *
            0 |           | partition:P    |         |
         1500 | leads     | no-member      | follows |
         1500 | propose=1 |                |         |
         1700 | acked=1   |                |         |
         8000 | leads     | heal:P         |         |
         9800 | leads     | member follows |         |",
    );
}

#[test]
fn three_of_five_continue_when_partitioned_from_two() {
    five(
        "time | P                                   | B                                   | C      | D      | E      | *
            0 | partition:C partition:D partition:E | partition:C partition:D partition:E |        |        |        |
          300 | propose=1                           |                                     |        |        |        |
         2500 | no-lease                            | no-lease                            |        |        |        | propose=2
         2700 | not-acked=1                         |                                     |        |        |        | acked=2
         4000 | heal                                | heal                                |        |        |        |
         7000 | member not-acked=1                  | member                              | member | member | member | propose=3
         7200 |                                     |                                     |        |        |        | acked=3",
    );
}

#[test]
fn a_primary_whose_disk_hangs_steps_down() {
    three(
        "time | P              | B | C | *
            0 | hang propose=1 |   |   |
         1900 | no-lease       |   |   | propose=2
         3000 |                |   |   | acked=2
         4000 | repair         |   |   |
         6500 | member follows |   |   | propose=3
         6700 | not-acked=1    |   |   | acked=3",
    );
}

#[test]
fn a_backup_whose_disk_hangs_is_dropped_and_added_again() {
    three(
        "time | P             | B         | C | *
            0 |               | hang      |   |
            0 | propose=1     |           |   |
         1200 | acked=1 leads | no-member |   |
         3000 |               | no-member |   |
         3000 |               | repair    |   |
         6000 | leads         | member    |   | propose=2
         6200 |               |           |   | acked=2",
    );
}

#[test]
fn a_machine_rejoins_once_its_disk_is_no_longer_full() {
    three(
        "time | P              | B                | C | *
            0 | full propose=1 |                  |   |
         1500 | no-lease       |                  |   | propose=2
         2500 |                |                  |   | acked=2
         4000 | repair         |                  |   |
         6500 | member follows |                  |   | propose=3
         6700 |                |                  |   | acked=3
         6700 |                | full             |   |
         8500 |                |                  |   | propose=4
         9500 |                |                  |   | propose=5
        10500 |                | no-member repair |   | acked=5
        13000 |                | member           |   | propose=6
        13200 |                |                  |   | acked=6",
    );
}
