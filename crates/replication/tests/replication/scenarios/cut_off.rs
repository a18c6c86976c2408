//! A machine that is cut off for twenty seconds: when it stops saying what is in force, when another is elected, and
//! what happens once the cut is over. Times count from the cut or from its end.

use super::{three, Settled, SEEDS};
use crate::harness::World;

const CUT_MS: u64 = 20_000;
/// The part of its lease that a primary uses, from the request of the last round that was granted.
const USED_LEASE_MS: u64 = 810;
/// Whoever heard a primary before the cut got its message this long after the cut at the latest.
const LONGEST_DELAY_MS: u64 = 25;

/// The ways in which a machine can be cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cut {
    Both,
    /// It hears nothing.
    In,
    /// Nobody hears it.
    Out,
}

fn cut(world: &mut World, machine: usize, cut: Cut) {
    for other in (0..world.machines.len()).filter(|other| *other != machine) {
        if cut != Cut::Out {
            world.network.cut(other, machine);
        }
        if cut != Cut::In {
            world.network.cut(machine, other);
        }
    }
    world.notice_cuts();
}

/// The time until something holds.
fn time_until(world: &mut World, limit: u64, what: &str, holds: impl Fn(&World) -> bool) -> u64 {
    let began = world.now;
    let held = world.run_until(limit, holds);
    assert!(held, "not in {limit} ms: {what}\n{}", world.trace.join("\n"));
    world.now - began
}

/// Cuts the primary off and returns the longest time over all seeds until another leads.
fn longest_time_to_another(how: Cut) -> u64 {
    let times = (0..SEEDS).map(|seed| {
        let mut settled = Settled::new(seed, 1, ["P", "B", "C"]);
        let primary = settled.names[0].1;
        let world = &mut settled.world;
        cut(world, primary, how);
        let elsewhere = |world: &World| world.leader().is_some_and(|leader| leader != primary);
        time_until(world, 5000, "another primary", elsewhere)
    });
    times.max().unwrap_or_default()
}

#[test]
fn a_primary_that_is_cut_off_stops_in_the_time_of_its_lease() {
    three(
        "time | P                 | B          | C          | *
            0 | cut               |            |            |
          700 | order=1           |            |            |
          810 | no-lease          |            |            |
          925 | names-none        | names-none | names-none |
         1310 | deposed           |            |            |
        20000 | open=1 names-none |            |            |",
    );
}

#[test]
fn a_primary_that_hears_nothing_stops_in_the_time_of_its_lease() {
    three(
        "time | P          | B | C | *
            0 | cut-in     |   |   |
          810 | no-lease names-none | | |
         1310 | deposed    |   |   |
        20000 | names-none |   |   |",
    );
}

#[test]
fn a_primary_that_nobody_hears_stops_in_the_time_of_its_lease() {
    three(
        "time | P        | B | C | *
            0 | cut-out  |   |   |
          810 | no-lease |   |   |
         1310 | deposed  |   |   |
        20000 | deposed  |   |   |",
    );
}

#[test]
fn another_primary_is_elected_after_a_cut_of_any_kind() {
    let longest = [Cut::Both, Cut::In, Cut::Out].map(longest_time_to_another);
    println!(
        "the longest times to another primary, cut off, hearing nothing, heard by nobody: {longest:?} ms"
    );
    assert!(longest[0] <= 1500 && longest[1] <= 2500 && longest[2] <= 1500, "{longest:?}");
}

#[test]
fn heartbeats_without_the_lease_do_not_prevent_an_election() {
    // The others hear the primary all the time, and yet they elect another, who is then left alone.
    for seed in 0..SEEDS {
        let mut settled = Settled::new(seed, 1, ["P", "B", "C"]);
        let primary = settled.names[0].1;
        let world = &mut settled.world;
        cut(world, primary, Cut::In);
        let elsewhere = |world: &World| world.leader().is_some_and(|leader| leader != primary);
        time_until(world, 2500, "another primary", elsewhere);
        let leader = world.leader();
        world.run_until(CUT_MS, |world| world.leader() != leader);
        assert_eq!(world.leader(), leader, "{}", world.trace.join("\n"));
    }
}

#[test]
fn a_backup_that_is_cut_off_names_no_primary_once_it_has_heard_none_for_a_lease() {
    for how in ["cut", "cut-in"] {
        three(&format!(
            "time | P             | B          | C       | *
                0 |               | {how}      |         |
              800 | leads         |            | names:P |
              925 | leads         | names-none | names:P |
            10000 | leads order=1 | names-none | names:P |
            10200 | leads acked=1 | names-none | names:P |
            20000 | leads         | join       | names:P |
            22000 | leads         | names:P member | names:P |"
        ));
    }
}

#[test]
fn a_backup_that_nobody_hears_names_the_primary_while_the_connection_from_that_one_stands() {
    // Without acknowledgements the primary gives the connection up after a second.
    three(
        "time | P             | B           | C       | *
            0 |               | cut-out     |         |
          800 | leads         | names:P     | names:P |
         2000 | leads order=1 | names-none out | names:P |
         2200 | leads acked=1 | names-none  | names:P |
         2200 |               | join        |         |
         5000 | leads         | names:P member | names:P |",
    );
}

/// Cuts a machine off for twenty seconds and joins it again; returns the longest time until it names the primary, and
/// checks that meanwhile and for long after nobody deposes that one.
fn longest_time_to_return(who: usize, how: Cut) -> u64 {
    let times = (0..SEEDS).map(|seed| {
        let mut settled = Settled::new(seed, 1, ["P", "B", "C"]);
        let machine = settled.names[who].1;
        let world = &mut settled.world;
        cut(world, machine, how);
        world.run_for(CUT_MS);
        let leader = world.leader().expect("a primary beside the cut");
        world.network.join_all();
        let time = time_until(world, 3000, "it names the primary", |w| w.named(machine) == Some(leader));
        world.run_until(10_000, |world| world.leader() != Some(leader));
        assert_eq!(world.leader(), Some(leader), "deposed\n{}", world.trace.join("\n"));
        assert!(world.members().contains(&machine), "not let in again\n{}", world.trace.join("\n"));
        time
    });
    times.max().unwrap_or_default()
}

#[test]
fn who_returns_from_a_cut_names_the_primary_soon_and_deposes_nobody() {
    for (who, name) in [(0, "the old primary"), (1, "a backup")] {
        let longest = [Cut::Both, Cut::In, Cut::Out].map(|how| longest_time_to_return(who, how));
        println!("{name} names the primary after at most {longest:?} ms");
        assert!(longest.into_iter().all(|time| time <= 400), "{name}: {longest:?}");
    }
}

#[test]
fn a_round_that_began_before_a_freeze_gives_no_lease_after_it() {
    // Both directions stand still for longer than the lease: what was under way is taken, and counts from before.
    for seed in 0..SEEDS {
        let mut settled = Settled::new(seed, 1, ["P", "B", "C"]);
        let primary = settled.names[0].1;
        let world = &mut settled.world;
        let time = 1 + seed * 13 % 150;
        world.run_for(time);
        world.freeze(primary);
        world.run_for(USED_LEASE_MS + LONGEST_DELAY_MS);
        world.wake(primary);
        assert_ne!(world.leader(), Some(primary), "{}", world.trace.join("\n"));
        assert_ne!(world.named(primary), Some(primary));
    }
}
