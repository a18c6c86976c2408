//! Liveness: what must hold within bounded times after the last fault has ended.

use crate::harness::Simulation;

/// The maximum time from the end of the last fault until there is a primary.
const RECOVERY_MS: u64 = 3000;
/// The maximum time in which that primary acknowledges a command.
const ACKNOWLEDGE_MS: u64 = 1000;
/// The maximum time from that acknowledgement until all machines are members and witnesses.
pub const JOIN_MS: u64 = 8000;

/// Ends all faults, and checks that a primary is elected and acknowledges a command in time.
pub fn check_acknowledgement(simulation: &mut Simulation) {
    simulation.end_all_faults();
    simulation.run_for(RECOVERY_MS);
    let leader = simulation.leader().expect("no primary after a fault-free period");
    let command = simulation.propose(leader);
    let acknowledged = simulation.run_until(ACKNOWLEDGE_MS, |simulation| simulation.is_acknowledged(command));
    assert!(acknowledged, "command {command} is not acknowledged in a fault-free period");
}
