//! The operations of random runs: what clients do, and the faults that are injected into machines and links.

use crate::harness::world::REGION_OF;
use crate::harness::{DiskMode, World};

/// The maximum number of machines in a run, including those that were removed.
const MACHINES: usize = 60;
/// The time that a machine has to shut down.
const SHUTDOWN_MS: u64 = 1500;
/// The maximum downtime of a process that is restarted at once.
const RESTART_MS: u64 = 60;
/// The time after which machines that have lost the leader campaign.
const CAMPAIGN_MS: u64 = 1500;
/// The number of latest commands of which one may be sent again.
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
    /// Kills the process and restarts it before a lease can expire.
    RestartAtOnce,
    /// Partitions some machines from the leader only. Once they campaign, partitions another witness from the
    /// leader too and restarts it, while the lease that it granted to the leader has not expired.
    RestartUnderLease,
    ShutDown,
    Freeze,
    Resume,
    /// Freezes the process and stops the clock of the machine until it resumes.
    Pause,
    HangDisk,
    FillDisk,
    RepairDisk,
    Isolate,
    IsolateOutbound,
    /// Partitions the machine from the next one.
    PartitionPair,
    HealPartitions,
    KillAll,
    StartAll,
    /// Sends several commands on the same base at the same time.
    ProposeConflicting,
    /// Sends one of the latest commands again, to the leader or to this machine.
    ProposeAgain,
    /// Reads the replicated state.
    Read,
    SlowDisk,
    /// Partitions the region of the machine from the others.
    PartitionRegion,
    /// Cuts the power of all machines in the region of the machine.
    RegionPowerLoss,
    /// Cuts the power of all machines in the region of the machine, and wipes as many disks as the tolerated
    /// losses allow.
    WipeRegion,
    /// Shuts the machine down and replaces it by another one.
    ShutDownAndReplace,
}

/// Performs an operation on a machine. Does nothing if the state of the machine does not allow the operation.
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

/// Sends two commands on the same base to the leader, and a third one to `machine` if that is another one and
/// runs. Does nothing without a leader.
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

/// Cuts the power of all machines of a region, and wipes their disks as long as the losses are tolerated.
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
