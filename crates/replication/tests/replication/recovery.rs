//! Liveness after faults: what must hold within bounded times once a world is fault-free.

use crate::harness::World;

/// How soon after the last fault there is a primary.
const RECOVERY_MS: u64 = 3000;
/// How soon it acknowledges a command.
const ACKNOWLEDGE_MS: u64 = 1000;
/// How soon after that all machines are members and witnesses.
pub const JOIN_MS: u64 = 8000;

/// Ends all faults, and checks that there is a primary that acknowledges a command soon.
pub fn check_acknowledgement(world: &mut World) {
    world.heal();
    world.run_for(RECOVERY_MS);
    let leader = world.leader().expect("a primary after a fault-free period");
    let command = world.propose(leader);
    let acknowledged = world.run_until(ACKNOWLEDGE_MS, |world| world.is_acknowledged(command));
    assert!(acknowledged, "command {command} is not acknowledged in a fault-free period");
}
