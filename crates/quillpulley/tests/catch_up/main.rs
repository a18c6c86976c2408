//! Members that were down or slow catch up in time, and do not delay the other members meanwhile. The links have a
//! bandwidth of 86 Mbit/s, and the disks a capacity of 128 MB.

mod disk;
mod world;

use disk::SLOW;
use world::{Links, World};

/// The size of the largest command, in bytes.
const MAX_COMMAND_BYTES: usize = quillpulley::control::api::MAX_BODY_BYTES;
/// The number of commands of the largest size in the test. The log is compacted after every four of them.
const LARGE_COMMAND_COUNT: usize = 100;
/// The time within which a restarted machine must be a member again (`CatchUpS`).
const MAX_CATCH_UP_MS: u64 = 4_000;
/// The same limit for five machines while commands of the largest size are replicated to all of them.
const MAX_CATCH_UP_FIVE_MACHINES_MS: u64 = 6_000;
/// The maximum time until a heartbeat arrives. It includes the time to send the chunks that are already in flight, and
/// the latency of the link.
const MAX_HEARTBEAT_US: u64 = 300_000;
/// The maximum number of bytes that a control node may have on its disk.
const MAX_DISK_BYTES: usize = 44_000_000;
/// The maximum number of bytes that a control node may have in memory, in its log and in the queues of its links.
const MAX_MEMORY_BYTES: usize = 64_000_000;

/// Returns a machine that is not the primary.
fn backup_machine(world: &World) -> usize {
    let primary = world.primary().expect("a primary");
    (0..world.machines.len()).find(|machine| *machine != primary).expect("another machine")
}

fn check_bounds(world: &World) {
    for machine in &world.machines {
        assert!(machine.disk.peak_bytes() < MAX_DISK_BYTES, "{} bytes on disk", machine.disk.peak_bytes());
    }
    assert!(world.peak_memory_bytes < MAX_MEMORY_BYTES, "{} bytes in memory", world.peak_memory_bytes);
}

/// Runs until a machine is a member, and sends a command 100 ms after each previous one. Returns how long that took, in
/// milliseconds.
fn time_to_catch_up(world: &mut World, machine: usize, command_bytes: usize) -> u64 {
    let started = world.now;
    let is_member = |world: &World| world.members().contains(&machine);
    while !is_member(world) {
        assert!(world.now < started + 60_000_000, "not caught up after a minute");
        world.run_until(100, is_member);
        if world.is_idle() {
            world.propose(command_bytes);
        }
        world.run_until(5_000, |world| world.is_idle() || is_member(world));
    }
    let time_ms = (world.now - started) / 1_000;
    world.run_until(5_000, World::is_idle);
    world.run_for(500);
    let primary = world.primary().expect("a primary");
    assert_eq!(world.count(machine), world.count(primary), "the member has applied all commands");
    time_ms
}

#[test]
fn a_hundred_commands_of_the_largest_size_stay_within_the_resource_limits() {
    let mut world = World::new(3);
    for _ in 0..LARGE_COMMAND_COUNT {
        world.run_commands(1, MAX_COMMAND_BYTES);
        check_bounds(&world);
    }
    println!(
        "disk {:?}, memory {}, slowest command {} ms, heartbeat {} ms",
        world.machines.iter().map(|machine| machine.disk.peak_bytes()).collect::<Vec<_>>(),
        world.peak_memory_bytes,
        world.slowest_command_us / 1_000,
        world.slowest_heartbeat_us / 1_000
    );
    assert_eq!(world.members().len(), 3);
    assert!(world.slowest_heartbeat_us < MAX_HEARTBEAT_US, "{} us", world.slowest_heartbeat_us);
}

/// Lets a machine miss 300 commands, and restarts it. The measurements begin at the restart. `prepare` is called
/// before the restart.
fn restart_after_300_commands(count: usize, prepare: impl Fn(&mut World, usize)) -> (World, usize) {
    let mut world = World::new(count);
    world.run_commands(3, MAX_COMMAND_BYTES);
    let absent = backup_machine(&world);
    world.kill(absent);
    world.run_commands(296, 2_000);
    world.run_commands(4, MAX_COMMAND_BYTES);
    prepare(&mut world, absent);
    world.start(absent);
    world.slowest_command_us = 0;
    world.slowest_heartbeat_us = 0;
    (world, absent)
}

fn print_measurements(world: &World, time_ms: u64) {
    println!(
        "caught up in {time_ms} ms, slowest command {} ms, heartbeat {} ms, {} bytes in memory",
        world.slowest_command_us / 1_000,
        world.slowest_heartbeat_us / 1_000,
        world.peak_memory_bytes
    );
}

#[test]
fn a_member_that_missed_300_commands_catches_up_in_time() {
    for count in [3, 5] {
        for command_bytes in [2_000, MAX_COMMAND_BYTES] {
            let (mut world, absent) = restart_after_300_commands(count, |_, _| {});
            let time_ms = time_to_catch_up(&mut world, absent, command_bytes);
            print_measurements(&world, time_ms);
            let limit = if count == 5 && command_bytes == MAX_COMMAND_BYTES {
                MAX_CATCH_UP_FIVE_MACHINES_MS
            } else {
                MAX_CATCH_UP_MS
            };
            assert!(time_ms < limit, "{time_ms} ms");
            assert!(world.slowest_heartbeat_us < MAX_HEARTBEAT_US, "{} us", world.slowest_heartbeat_us);
            let limit = if command_bytes == MAX_COMMAND_BYTES { 3_000_000 } else { 1_000_000 };
            assert!(world.slowest_command_us < limit, "{} us", world.slowest_command_us);
            check_bounds(&world);
        }
    }
}

#[test]
fn a_member_with_a_slow_disk_catches_up_in_time() {
    let (mut world, absent) =
        restart_after_300_commands(3, |world, absent| world.machines[absent].disk.speed = SLOW);
    let time_ms = time_to_catch_up(&mut world, absent, 2_000);
    print_measurements(&world, time_ms);
    assert!(time_ms < MAX_CATCH_UP_MS, "{time_ms} ms");
    let epoch = world.view_epoch();
    world.run_commands(200, 2_000);
    assert_eq!((world.view_epoch(), world.members().len()), (epoch, 3), "the machine stays a member");
    // Each of these commands takes more than one second to write to the slow disk.
    world.slowest_command_us = 0;
    let started = world.now;
    world.run_commands(40, MAX_COMMAND_BYTES);
    let view_changes = world.view_epoch() - epoch;
    println!(
        "{view_changes} view changes in {} s, slowest command {} ms",
        (world.now - started) / 1_000_000,
        world.slowest_command_us / 1_000
    );
    assert!(view_changes <= 12, "{view_changes} view changes");
    assert!(world.slowest_command_us < 5_000_000, "{} us", world.slowest_command_us);
    let time_ms = time_to_catch_up(&mut world, absent, 2_000);
    assert!(time_ms < 2 * MAX_CATCH_UP_MS, "{time_ms} ms");
    check_bounds(&world);
}

#[test]
fn a_member_with_a_full_disk_is_removed_and_rejoins_once() {
    let mut world = World::new(3);
    world.run_commands(3, MAX_COMMAND_BYTES);
    let full = backup_machine(&world);
    let epoch = world.view_epoch();
    world.machines[full].disk.set_full(true);
    world.run_commands(100, 2_000);
    world.run_commands(10, MAX_COMMAND_BYTES);
    world.run_for(20_000);
    assert_eq!(world.members().len(), 2, "commands are processed without the member");
    assert!(world.view_epoch() <= epoch + 2, "epoch {} after {epoch}", world.view_epoch());
    assert!(world.slowest_command_us < 3_000_000, "{} us", world.slowest_command_us);
    world.machines[full].disk.set_full(false);
    let time_ms = time_to_catch_up(&mut world, full, 2_000);
    print_measurements(&world, time_ms);
    assert!(time_ms < MAX_CATCH_UP_MS, "{time_ms} ms");
    check_bounds(&world);
}

// The disk has room for one second and is full for two, repeatedly for a minute. Commands pause each time the member is
// added again, so it must not be added every time.
#[test]
fn a_member_whose_disk_is_repeatedly_full_is_added_again_at_growing_intervals() {
    let mut world = World::new(3);
    world.run_commands(3, MAX_COMMAND_BYTES);
    let full = backup_machine(&world);
    let (epoch, started) = (world.view_epoch(), world.now);
    while world.now < started + 60_000_000 {
        for (is_full, duration_us) in [(true, 2_000_000), (false, 1_000_000)] {
            world.machines[full].disk.set_full(is_full);
            let end = world.now + duration_us;
            while world.now < end {
                world.run_commands(1, 2_000);
                world.run_for(50);
            }
        }
    }
    let view_changes = world.view_epoch() - epoch;
    println!("{view_changes} view changes in a minute, {} commands", world.acknowledged);
    assert!(view_changes <= 26, "{view_changes} view changes in a minute");
    assert!(world.acknowledged > 450, "{} commands in a minute", world.acknowledged);
    assert!(world.slowest_command_us < 1_500_000, "{} us", world.slowest_command_us);
}

#[test]
fn five_machines_catch_up_in_half_the_time_with_compression() {
    let mut world = World::with_links(5, Links::Compressed);
    world.run_commands(3, MAX_COMMAND_BYTES);
    let absent = backup_machine(&world);
    world.kill(absent);
    world.run_commands(296, 2_000);
    world.run_commands(4, MAX_COMMAND_BYTES);
    world.start(absent);
    world.slowest_command_us = 0;
    world.slowest_heartbeat_us = 0;
    let time_ms = time_to_catch_up(&mut world, absent, MAX_COMMAND_BYTES);
    print_measurements(&world, time_ms);
    assert!(time_ms < MAX_CATCH_UP_MS / 2, "{time_ms} ms");
    assert!(world.slowest_heartbeat_us < MAX_HEARTBEAT_US, "{} us", world.slowest_heartbeat_us);
    check_bounds(&world);
}
