//! The operations of random runs: what clients do, and the faults that are injected into machines and links.

use crate::harness::world::REGION_OF;
use crate::harness::{DiskMode, World};

/// The most machines that there are in a run, those that are gone among them.
const MACHINES: usize = 60;
/// How long a machine has to shut down.
const SHUTDOWN_MS: u64 = 1500;
/// A process that is killed and started again at once is away for so long at most.
const RESTART_MS: u64 = 60;
/// Whoever lost the leader campaigns after so long.
const CAMPAIGN_MS: u64 = 1500;
/// Only so many of the latest commands are sent again.
const LATEST_COMMANDS: u64 = 8;

/// An operation on a machine, or on several.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    Propose,
    ProposeAnywhere,
    Kill,
    PowerLoss,
    Wipe,
    Replace,
    Start,
    /// The process is killed and comes back within the time of a lease.
    RestartAtOnce,
    /// Some machines lose the leader alone. Once they campaign, another witness loses it too and restarts: its lease to
    /// the leader still runs.
    RestartUnderLease,
    ShutDown,
    Freeze,
    Resume,
    /// The machine stands still with its clock, until it resumes.
    Pause,
    HangDisk,
    FillDisk,
    RepairDisk,
    Isolate,
    IsolateOutbound,
    /// Partitions one machine from the next.
    PartitionPair,
    HealPartitions,
    KillAll,
    StartAll,
    /// Two operators send commands on one base at the same time.
    ProposeConflicting,
    /// One of the latest commands is sent again, to any machine.
    ProposeAgain,
    /// The active configuration is read.
    Read,
    SlowDisk,
    /// Partitions one region from the others.
    PartitionRegion,
    /// All machines of a region lose power.
    RegionPowerLoss,
    /// All machines of a region lose power and their disks.
    WipeRegion,
    /// The machine shuts down, and another takes its place.
    ShutDownAndReplace,
}

/// Performs an operation on a machine, if it makes sense there.
pub fn perform(world: &mut World, operation: Operation, machine: usize) {
    let runs = world.is_running(machine);
    match operation {
        Operation::Propose => {
            if let Some(leader) = world.leader() {
                world.propose(leader);
            }
        }
        Operation::ProposeAnywhere if runs => {
            world.propose(machine);
        }
        Operation::Kill => world.kill(machine, false),
        Operation::PowerLoss => world.kill(machine, true),
        Operation::Wipe if world.tolerates_loss_of(machine) => {
            world.kill(machine, true);
            world.wipe(machine);
        }
        Operation::Replace if may_replace(world, machine) => replace(world, machine),
        Operation::Start if !runs => world.start(machine),
        Operation::RestartAtOnce if runs => {
            world.kill(machine, false);
            let pause = world.random.u64(1..RESTART_MS);
            world.run_for(pause);
            world.start(machine);
        }
        Operation::RestartUnderLease => restart_under_lease(world),
        Operation::ShutDown if runs => world.shut_down(machine),
        Operation::Freeze if runs => world.freeze(machine),
        Operation::Pause if runs => world.pause(machine),
        Operation::Resume if runs => world.resume(machine),
        Operation::HangDisk => world.set_disk(machine, DiskMode::Hangs),
        Operation::FillDisk => world.set_disk(machine, DiskMode::Full),
        Operation::RepairDisk => world.set_disk(machine, DiskMode::Healthy),
        Operation::Isolate => isolate(world, machine, true),
        Operation::IsolateOutbound => isolate(world, machine, false),
        Operation::PartitionPair => world.partition_pair(machine, (machine + 1) % world.machines.len()),
        Operation::HealPartitions => world.network.heal_all(),
        Operation::KillAll => {
            for machine in world.present() {
                world.kill(machine, machine % 2 == 0);
            }
        }
        Operation::StartAll => {
            for machine in world.present() {
                if !world.is_running(machine) {
                    world.start(machine);
                }
            }
        }
        Operation::ProposeConflicting => propose_conflicting(world, machine),
        Operation::ProposeAgain if runs => propose_again(world, machine),
        Operation::Read => {
            for asked in world.leader().into_iter().chain([machine]) {
                world.read(asked);
            }
        }
        Operation::SlowDisk => world.set_disk(machine, DiskMode::Slow),
        Operation::PartitionRegion => partition_region(world, region(world, machine)),
        Operation::RegionPowerLoss => {
            for other in machines_in(world, region(world, machine)) {
                world.kill(other, true);
            }
        }
        Operation::WipeRegion => wipe_region(world, region(world, machine)),
        Operation::ShutDownAndReplace if runs && may_replace(world, machine) => {
            world.shut_down(machine);
            world.run_for(SHUTDOWN_MS);
            if world.tolerates_loss_of(machine) {
                replace(world, machine);
            }
        }
        _ => {}
    }
}

fn restart_under_lease(world: &mut World) {
    let Some(leader) = world.leader() else { return };
    let others: Vec<usize> = world.present().into_iter().filter(|machine| *machine != leader).collect();
    let (campaigning, granting) = others.split_at(others.len() / 2);
    for machine in campaigning {
        world.partition_pair(leader, *machine);
    }
    world.run_for(CAMPAIGN_MS);
    let Some(witness) = granting.first().copied().filter(|machine| world.is_running(*machine)) else {
        return;
    };
    world.partition_pair(leader, witness);
    world.kill(witness, false);
    world.start(witness);
}

fn may_replace(world: &World, machine: usize) -> bool {
    world.machines.len() < MACHINES && world.tolerates_loss_of(machine)
}

fn replace(world: &mut World, machine: usize) {
    let zone = world.machines[machine].zone;
    world.remove(machine);
    world.add_spare_in(zone);
}

/// Two commands on one base: both to the leader if there is one, or else to two machines.
fn propose_conflicting(world: &mut World, machine: usize) {
    let Some(leader) = world.leader() else { return };
    world.propose(leader);
    world.propose(leader);
    if machine != leader && world.is_running(machine) {
        world.propose(machine);
    }
}

fn propose_again(world: &mut World, machine: usize) {
    let count = world.command_count();
    if count == 0 {
        return;
    }
    let number = count - world.random.u64(0..count.min(LATEST_COMMANDS));
    let to_leader = world.random.bool();
    let target = world.leader().filter(|_| to_leader).unwrap_or(machine);
    world.propose_again(target, number);
}

fn region(world: &World, machine: usize) -> usize {
    REGION_OF[world.machines[machine].zone]
}

fn machines_in(world: &World, region: usize) -> Vec<usize> {
    let in_region = |machine: &usize| REGION_OF[world.machines[*machine].zone] == region;
    world.present().into_iter().filter(in_region).collect()
}

fn partition_region(world: &mut World, region: usize) {
    let inside = machines_in(world, region);
    let all = world.present();
    for machine in &inside {
        for other in all.iter().filter(|other| !inside.contains(other)) {
            world.network.partition(*machine, *other);
            world.network.partition(*other, *machine);
        }
    }
    world.detect_partitions();
}

/// All disks of a region, as long as they are among the losses to tolerate.
fn wipe_region(world: &mut World, region: usize) {
    for machine in machines_in(world, region) {
        world.kill(machine, true);
        if world.tolerates_loss_of(machine) {
            world.wipe(machine);
        }
    }
}

fn isolate(world: &mut World, machine: usize, both: bool) {
    for other in (0..world.machines.len()).filter(|other| *other != machine) {
        world.network.partition(machine, other);
        if both {
            world.network.partition(other, machine);
        }
    }
    if both {
        world.detect_partitions();
    }
}
