//! The operations of random runs: what clients do, and the faults that are injected into machines and links.

use crate::harness::simulation::REGION_OF;
use crate::harness::{DiskMode, Simulation};

/// The maximum number of machines in a run, including those that were removed.
const MAX_MACHINES: usize = 60;
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
pub fn perform(simulation: &mut Simulation, operation: Operation, machine: usize) {
    let runs = simulation.is_running(machine);
    match operation {
        Operation::Propose => {
            if let Some(leader) = simulation.leader() {
                simulation.propose(leader);
            }
        }
        Operation::ProposeAnywhere if runs => {
            simulation.propose(machine);
        }
        Operation::Kill => simulation.kill(machine, false),
        Operation::PowerLoss => simulation.kill(machine, true),
        Operation::Wipe if simulation.tolerates_loss_of(machine) => {
            simulation.kill(machine, true);
            simulation.wipe(machine);
        }
        Operation::Replace if may_replace(simulation, machine) => replace(simulation, machine),
        Operation::Start if !runs => simulation.start(machine),
        Operation::RestartAtOnce if runs => {
            simulation.kill(machine, false);
            let pause = simulation.random.u64(1..RESTART_MS);
            simulation.run_for(pause);
            simulation.start(machine);
        }
        Operation::RestartUnderLease => restart_under_lease(simulation),
        Operation::ShutDown if runs => simulation.shut_down(machine),
        Operation::Freeze if runs => simulation.freeze(machine),
        Operation::Pause if runs => simulation.pause(machine),
        Operation::Resume if runs => simulation.resume(machine),
        Operation::HangDisk => simulation.set_disk(machine, DiskMode::Hangs),
        Operation::FillDisk => simulation.set_disk(machine, DiskMode::Full),
        Operation::RepairDisk => simulation.set_disk(machine, DiskMode::Healthy),
        Operation::Isolate => isolate(simulation, machine, true),
        Operation::IsolateOutbound => isolate(simulation, machine, false),
        Operation::PartitionPair => {
            simulation.partition_pair(machine, (machine + 1) % simulation.machines.len())
        }
        Operation::HealPartitions => simulation.network.heal_all(),
        Operation::KillAll => {
            for machine in simulation.present() {
                simulation.kill(machine, machine % 2 == 0);
            }
        }
        Operation::StartAll => {
            for machine in simulation.present() {
                if !simulation.is_running(machine) {
                    simulation.start(machine);
                }
            }
        }
        Operation::ProposeConflicting => propose_conflicting(simulation, machine),
        Operation::ProposeAgain if runs => propose_again(simulation, machine),
        Operation::Read => {
            for asked in simulation.leader().into_iter().chain([machine]) {
                simulation.read(asked);
            }
        }
        Operation::SlowDisk => simulation.set_disk(machine, DiskMode::Slow),
        Operation::PartitionRegion => partition_region(simulation, region(simulation, machine)),
        Operation::RegionPowerLoss => {
            for other in machines_in(simulation, region(simulation, machine)) {
                simulation.kill(other, true);
            }
        }
        Operation::WipeRegion => wipe_region(simulation, region(simulation, machine)),
        Operation::ShutDownAndReplace if runs && may_replace(simulation, machine) => {
            simulation.shut_down(machine);
            simulation.run_for(SHUTDOWN_MS);
            if simulation.tolerates_loss_of(machine) {
                replace(simulation, machine);
            }
        }
        _ => {}
    }
}

fn restart_under_lease(simulation: &mut Simulation) {
    let Some(leader) = simulation.leader() else { return };
    let others: Vec<usize> = simulation.present().into_iter().filter(|machine| *machine != leader).collect();
    let (campaigning, granting) = others.split_at(others.len() / 2);
    for machine in campaigning {
        simulation.partition_pair(leader, *machine);
    }
    simulation.run_for(CAMPAIGN_MS);
    let Some(witness) = granting.first().copied().filter(|machine| simulation.is_running(*machine)) else {
        return;
    };
    simulation.partition_pair(leader, witness);
    simulation.kill(witness, false);
    simulation.start(witness);
}

fn may_replace(simulation: &Simulation, machine: usize) -> bool {
    simulation.machines.len() < MAX_MACHINES && simulation.tolerates_loss_of(machine)
}

fn replace(simulation: &mut Simulation, machine: usize) {
    let zone = simulation.machines[machine].zone;
    simulation.remove(machine);
    simulation.add_spare_in(zone);
}

/// Sends two commands on the same base to the leader, and a third one to `machine` if that is another one and
/// runs. Does nothing without a leader.
fn propose_conflicting(simulation: &mut Simulation, machine: usize) {
    let Some(leader) = simulation.leader() else { return };
    simulation.propose(leader);
    simulation.propose(leader);
    if machine != leader && simulation.is_running(machine) {
        simulation.propose(machine);
    }
}

fn propose_again(simulation: &mut Simulation, machine: usize) {
    let count = simulation.command_count();
    if count == 0 {
        return;
    }
    let number = count - simulation.random.u64(0..count.min(LATEST_COMMANDS));
    let to_leader = simulation.random.bool();
    let target = simulation.leader().filter(|_| to_leader).unwrap_or(machine);
    simulation.propose_again(target, number);
}

fn region(simulation: &Simulation, machine: usize) -> usize {
    REGION_OF[simulation.machines[machine].zone]
}

fn machines_in(simulation: &Simulation, region: usize) -> Vec<usize> {
    let in_region = |machine: &usize| REGION_OF[simulation.machines[*machine].zone] == region;
    simulation.present().into_iter().filter(in_region).collect()
}

fn partition_region(simulation: &mut Simulation, region: usize) {
    let inside = machines_in(simulation, region);
    let all = simulation.present();
    for machine in &inside {
        for other in all.iter().filter(|other| !inside.contains(other)) {
            simulation.network.partition(*machine, *other);
            simulation.network.partition(*other, *machine);
        }
    }
    simulation.detect_partitions();
}

/// Cuts the power of all machines of a region, and wipes their disks as long as the losses are tolerated.
fn wipe_region(simulation: &mut Simulation, region: usize) {
    for machine in machines_in(simulation, region) {
        simulation.kill(machine, true);
        if simulation.tolerates_loss_of(machine) {
            simulation.wipe(machine);
        }
    }
}

fn isolate(simulation: &mut Simulation, machine: usize, both_directions: bool) {
    for other in (0..simulation.machines.len()).filter(|other| *other != machine) {
        simulation.network.partition(machine, other);
        if both_directions {
            simulation.network.partition(other, machine);
        }
    }
    if both_directions {
        simulation.detect_partitions();
    }
}
