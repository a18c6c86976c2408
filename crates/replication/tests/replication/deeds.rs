//! What happens to machines in random runs.

use crate::harness::world::REGION_OF;
use crate::harness::{DiskMode, World};

/// The most machines that there are in a run, those that are gone among them.
const MACHINES: usize = 60;
/// How long a machine that was told to end is given.
const LEAVING_MS: u64 = 1500;
/// Only so many of the latest orders are sent again.
const LATEST_ORDERS: u64 = 8;

/// Something that happens to a machine, or to several.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deed {
    Propose,
    ProposeAnywhere,
    Kill,
    PowerLoss,
    Wipe,
    Replace,
    Start,
    Stop,
    Freeze,
    Wake,
    Hang,
    Full,
    Good,
    CutOff,
    CutOneWay,
    /// One machine from the next.
    CutPair,
    Join,
    KillAll,
    StartAll,
    /// Two operators send orders on one base at the same time.
    ProposeTwo,
    /// One of the latest orders is sent again, to any machine.
    ProposeAgain,
    /// It is asked what is in force.
    Ask,
    Slow,
    /// One region from the others.
    CutRegion,
    /// All machines of a region lose power.
    RegionPowerLoss,
    /// All machines of a region lose power and their disks.
    WipeRegion,
    /// The machine is told to end, ends, and another comes in its place.
    ReplaceLeaving,
}

/// Does a deed to a machine, if it makes sense there.
pub fn act(world: &mut World, deed: Deed, machine: usize) {
    let runs = world.is_running(machine);
    match deed {
        Deed::Propose => {
            if let Some(leader) = world.leader() {
                world.propose(leader);
            }
        }
        Deed::ProposeAnywhere if runs => {
            world.propose(machine);
        }
        Deed::Kill => world.kill(machine, false),
        Deed::PowerLoss => world.kill(machine, true),
        Deed::Wipe if world.tolerates_loss_of(machine) => {
            world.kill(machine, true);
            world.wipe(machine);
        }
        Deed::Replace if may_replace(world, machine) => replace(world, machine),
        Deed::Start if !runs => world.start(machine),
        Deed::Stop if runs => world.stop(machine),
        Deed::Freeze if runs => world.freeze(machine),
        Deed::Wake if runs => world.wake(machine),
        Deed::Hang => world.set_disk(machine, DiskMode::Hangs),
        Deed::Full => world.set_disk(machine, DiskMode::Full),
        Deed::Good => world.set_disk(machine, DiskMode::Good),
        Deed::CutOff => cut(world, machine, true),
        Deed::CutOneWay => cut(world, machine, false),
        Deed::CutPair => {
            let other = (machine + 1) % world.machines.len();
            world.network.cut(machine, other);
            world.network.cut(other, machine);
            world.notice_cuts();
        }
        Deed::Join => world.network.join_all(),
        Deed::KillAll => {
            for machine in world.present() {
                world.kill(machine, machine % 2 == 0);
            }
        }
        Deed::StartAll => {
            for machine in world.present() {
                if !world.is_running(machine) {
                    world.start(machine);
                }
            }
        }
        Deed::ProposeTwo => propose_two(world, machine),
        Deed::ProposeAgain if runs => propose_again(world, machine),
        Deed::Ask => {
            for asked in world.leader().into_iter().chain([machine]) {
                world.ask(asked);
            }
        }
        Deed::Slow => world.set_disk(machine, DiskMode::Slow),
        Deed::CutRegion => cut_region(world, region(world, machine)),
        Deed::RegionPowerLoss => {
            for other in machines_in(world, region(world, machine)) {
                world.kill(other, true);
            }
        }
        Deed::WipeRegion => wipe_region(world, region(world, machine)),
        Deed::ReplaceLeaving if runs && may_replace(world, machine) => {
            world.stop(machine);
            world.run_for(LEAVING_MS);
            if world.tolerates_loss_of(machine) {
                replace(world, machine);
            }
        }
        _ => {}
    }
}

fn may_replace(world: &World, machine: usize) -> bool {
    world.machines.len() < MACHINES && world.tolerates_loss_of(machine)
}

fn replace(world: &mut World, machine: usize) {
    let zone = world.machines[machine].zone;
    world.remove(machine);
    world.add_spare_in(zone);
}

/// Two orders on one base: both to the leader if there is one, or else to two machines.
fn propose_two(world: &mut World, machine: usize) {
    let Some(leader) = world.leader() else { return };
    world.propose(leader);
    world.propose(leader);
    if machine != leader && world.is_running(machine) {
        world.propose(machine);
    }
}

fn propose_again(world: &mut World, machine: usize) {
    let count = world.order_count();
    if count == 0 {
        return;
    }
    let number = count - world.random.u64(0..count.min(LATEST_ORDERS));
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

fn cut_region(world: &mut World, region: usize) {
    let inside = machines_in(world, region);
    let all = world.present();
    for machine in &inside {
        for other in all.iter().filter(|other| !inside.contains(other)) {
            world.network.cut(*machine, *other);
            world.network.cut(*other, *machine);
        }
    }
    world.notice_cuts();
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

fn cut(world: &mut World, machine: usize, both: bool) {
    for other in (0..world.machines.len()).filter(|other| *other != machine) {
        world.network.cut(machine, other);
        if both {
            world.network.cut(other, machine);
        }
    }
    if both {
        world.notice_cuts();
    }
}
