//! Machines that are frozen or cut off, and disks that hang or are full.

use super::{five, three};

#[test]
fn a_frozen_primary_has_no_lease_when_it_wakes() {
    three(
        "time | P       | B | C | *
            0 | freeze  |   |   |
         2000 |         |   |   | order=1
         3000 | wake    |   |   | acked=1
         3000 | order=2 no-lease | | |
         3200 | open=2  |   |   |
         5000 | follows member | | | order=3
         5200 |         |   |   | acked=3",
    );
}

#[test]
fn a_primary_frozen_with_an_order_in_flight_does_not_acknowledge_it() {
    three(
        "time | P              | B | C | *
            0 | order=1 freeze |   |   |
         2500 |                |   |   | order=2
         2600 | wake           |   |   |
         3500 | open=1         |   |   | acked=2",
    );
}

#[test]
fn a_primary_that_is_cut_off_is_replaced_and_comes_back() {
    three(
        "time | P       | B | C | *
            0 | cut     |   |   |
          500 | order=1 |   |   |
         2200 | no-lease   |   |   | order=2
         2500 |         |   |   | acked=2
         4000 | join    |   |   |
         6500 | follows member open=1 witness | | | order=3
         6700 |         |   |   | acked=3",
    );
}

#[test]
fn a_primary_that_hears_nothing_gives_up_and_does_not_keep_others_away() {
    three(
        "time | P       | B | C | *
            0 | cut-in  |   |   |
         4000 | no-lease   |   |   | order=1
         4300 |         |   |   | acked=1
         5000 | join    |   |   |
         7000 | follows member | | |",
    );
}

#[test]
fn a_primary_that_reaches_no_one_is_replaced() {
    three(
        "time | P       | B | C | *
            0 | cut-out |   |   |
         2200 | no-lease   |   |   | order=1
         2400 |         |   |   | acked=1
         5000 | join    |   |   |
         7000 | follows member | | |",
    );
}

#[test]
fn a_backup_cut_off_from_the_primary_only_does_not_depose_it() {
    three(
        "time | P     | B     | C | *
            0 |       | cut:P |   |
         1500 | leads | out   | follows |
         1500 | order=1 |     |   |
         1700 | acked=1 |     |   |
         8000 | leads | join:P |  |
         9800 | leads | member follows | |",
    );
}

#[test]
fn five_cut_into_two_and_three_go_on_with_the_three() {
    five(
        "time | P                 | B                 | C | D | E | *
            0 | cut:C cut:D cut:E | cut:C cut:D cut:E |   |   |   |
          300 | order=1           |                   |   |   |   |
         2500 | no-lease          | no-lease          |   |   |   | order=2
         2700 | open=1            |                   |   |   |   | acked=2
         4000 | join              | join              |   |   |   |
         7000 | member open=1     | member            | member | member | member | order=3
         7200 |                   |                   |   |   |   | acked=3",
    );
}

#[test]
fn a_primary_whose_disk_hangs_steps_down() {
    three(
        "time | P            | B | C | *
            0 | hang order=1 |   |   |
         1900 | no-lease     |   |   | order=2
         3000 |              |   |   | acked=2
         4000 | good         |   |   |
         6500 | member follows | | | order=3
         6700 | open=1       |   |   | acked=3",
    );
}

#[test]
fn a_backup_whose_disk_hangs_is_dropped_and_let_in_again() {
    three(
        "time | P       | B      | C | *
            0 |         | hang   |   |
            0 | order=1 |        |   |
         1200 | acked=1 leads | out |  |
         3000 |         | out    |   |
         3000 |         | good   |   |
         6000 | leads   | member |   | order=2
         6200 |         |        |   | acked=2",
    );
}

#[test]
fn a_full_disk_comes_back_by_itself() {
    three(
        "time | P            | B | C | *
            0 | full order=1 |   |   |
         1500 | no-lease     |   |   | order=2
         2500 |              |   |   | acked=2
         4000 | good         |   |   |
         6500 | member follows | | | order=3
         6700 |              |   |   | acked=3
         6700 |              | full |  |
         8500 |              |   |   | order=4
         9500 |              |   |   | order=5
        10500 |              | out good | | acked=5
        13000 |              | member | | order=6
        13200 |              |   |   | acked=6",
    );
}
