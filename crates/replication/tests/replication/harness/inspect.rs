//! Observations of a simulation, and the invariants that are checked while it runs.

use quillpulley_protocol::{Body, NodeId};
use quillpulley_replication::{DurabilityStatus, Locality, Replica, Role};
use std::time::Duration;

use super::disk::DiskImage;
use super::durability::{self, Survivor};
use super::simulation::{prints_trace, Machine, Simulation, REGION_OF};

/// The duration of a granted lease.
const LEASE_MS: u64 = 900;
/// The round number of probes, which do not request the lease.
const PROBE_ROUND: u64 = 0;
/// The minimum time for which a lost node counts as lost: by then its replacement has caught up.
const CATCH_UP_MS: u64 = 4000;

impl Simulation {
    /// Returns whether the loss of a machine's disk would still be a tolerated loss. A lost node counts for
    /// `CATCH_UP_MS`, and longer while a view that may be the newest names it.
    pub fn tolerates_loss_of(&self, machine: usize) -> bool {
        let present = self.machines.iter().filter(|machine| !machine.removed);
        let disks: Vec<&DiskImage> = present.map(|machine| &machine.disk).collect();
        let newest = durability::possibly_newest_views(&disks, self.lost.len());
        let counts = |(node, at): &&(NodeId, u64)| {
            self.now < at + CATCH_UP_MS || newest.iter().any(|view| durability::includes(view, *node))
        };
        let lost = self.lost.iter().filter(counts).count() + 1;
        let tolerated_machines = self.options.tolerated_machines;
        let have_enough_witnesses =
            newest.iter().all(|view| durability::has_enough_witnesses(view, tolerated_machines));
        !self.machines[machine].removed && lost <= tolerated_machines && have_enough_witnesses
    }

    /// Returns the machines that were not removed.
    pub fn present(&self) -> Vec<usize> {
        (0..self.machines.len()).filter(|machine| !self.machines[*machine].removed).collect()
    }

    /// Returns the proposals whose outcome is not reported although the process that received them still
    /// runs.
    pub fn unresolved_proposals(&self) -> Vec<u64> {
        let is_open = |(proposal, machine, process): &&(u64, usize, u64)| {
            self.runs_process(*machine, *process) && !self.checker.is_resolved(*proposal)
        };
        self.received_proposals.iter().filter(is_open).map(|(proposal, ..)| *proposal).collect()
    }

    /// Returns the zone and region of a machine; both are empty if it has none.
    pub fn locality_of(&self, machine: usize) -> Locality {
        if self.options.announces_zones {
            let zone = self.machines[machine].zone;
            return Locality { zone: format!("zone-{zone}"), region: format!("region-{}", REGION_OF[zone]) };
        }
        let (zone, region) = self.options.localities.get(machine).copied().unwrap_or_default();
        Locality { zone: zone.into(), region: region.into() }
    }

    /// Returns which tolerated failures the view of the leader does not survive; `None` without a leader.
    pub fn durability(&self) -> Option<DurabilityStatus> {
        self.leader().and_then(|leader| self.machines[leader].replica.as_ref()).and_then(Replica::durability)
    }

    /// Returns how many responsive witnesses may be lost before the leader has no majority; `None` without a
    /// leader.
    pub fn spare_witnesses(&self) -> Option<usize> {
        let leader = self.leader()?;
        self.machines[leader]
            .replica
            .as_ref()
            .and_then(|replica| replica.spare_witnesses(self.local_time(leader)))
    }

    /// Returns whether a process that is shutting down may exit.
    pub fn can_exit(&self, machine: usize) -> bool {
        self.machines[machine].replica.as_ref().is_some_and(Replica::can_exit)
    }

    /// Returns whether a machine is writing an installed snapshot to its disk.
    pub fn is_installing(&self, machine: usize) -> bool {
        matches!(self.machines[machine].write, Some((_, quillpulley_replication::Write::Install { .. })))
    }

    pub fn is_running(&self, machine: usize) -> bool {
        self.machines[machine].replica.is_some()
    }

    /// Returns the role of a machine; `None` if its process does not run.
    pub fn role(&self, machine: usize) -> Option<Role> {
        let now = self.local_time(machine);
        self.machines[machine].replica.as_ref().map(|replica| replica.role(now))
    }

    /// Returns the leader: the machine that is the primary, holds the lease and is not frozen.
    pub fn leader(&self) -> Option<usize> {
        let is_leader = |machine: &usize| {
            !self.machines[*machine].frozen
                && matches!(self.role(*machine), Some(Role::Primary { holds_lease: true, .. }))
        };
        (0..self.machines.len()).find(is_leader)
    }

    /// Returns the machine that a machine names to its clients as the primary.
    pub fn hinted_primary(&self, machine: usize) -> Option<usize> {
        let now = self.local_time(machine);
        let replica = self.machines[machine].replica.as_ref()?;
        let primary = replica.primary_hint(now)?;
        self.machines.iter().position(|other| other.id == primary)
    }

    /// Returns the machines that a client visits if it starts at `machine` and follows the redirects. The
    /// path ends at a machine that names no primary or itself, or at the first machine that is visited twice.
    pub fn redirect_path(&self, machine: usize) -> Vec<usize> {
        let mut path = vec![machine];
        while let Some(next) = self.hinted_primary(path[path.len() - 1]) {
            let names_itself = next == path[path.len() - 1];
            let is_loop = path.contains(&next);
            if !names_itself {
                path.push(next);
            }
            if names_itself || is_loop {
                break;
            }
        }
        path
    }

    /// Returns the number of the process that runs on a machine, or ran last.
    pub fn process(&self, machine: usize) -> u64 {
        self.machines[machine].process
    }

    /// Returns the time since the start of the process, by the machine's own clock.
    pub fn clock(&self, machine: usize) -> Duration {
        self.local_time(machine)
    }

    /// Returns the members of the leader's view; empty without a leader.
    pub fn members(&self) -> Vec<usize> {
        let replica = self.leader().and_then(|leader| self.machines[leader].replica.as_ref());
        let Some(view) = replica.and_then(Replica::view) else { return Vec::new() };
        let in_view = |machine: &usize| {
            let id = self.machines[*machine].id;
            view.primary == id || view.backups.contains(&id)
        };
        (0..self.machines.len()).filter(in_view).collect()
    }

    /// Returns the witnesses of the leader's view; empty without a leader.
    pub fn witnesses(&self) -> Vec<usize> {
        let replica = self.leader().and_then(|leader| self.machines[leader].replica.as_ref());
        let Some(view) = replica.and_then(Replica::view) else { return Vec::new() };
        let is_witness = |machine: &usize| view.witnesses.contains(&self.machines[*machine].id);
        (0..self.machines.len()).filter(is_witness).collect()
    }

    pub fn is_acknowledged(&self, command: u64) -> bool {
        self.checker.acknowledged.contains(&command)
    }

    /// Returns the index of the last entry that a machine has applied; 0 if its process does not run.
    pub fn applied_index(&self, machine: usize) -> u64 {
        self.machines[machine].replica.as_ref().map_or(0, Replica::applied_index)
    }

    /// Returns the number of disk writes that the current process of a machine has started.
    pub fn write_count(&self, machine: usize) -> u64 {
        self.machines[machine].writes
    }

    /// Returns the number of disks that were lost so far.
    pub fn lost_count(&self) -> u64 {
        self.lost.len() as u64
    }

    pub(super) fn runs_process(&self, machine: usize, process: u64) -> bool {
        self.machines[machine].replica.is_some() && self.machines[machine].process == process
    }

    pub(super) fn check_state(&mut self, machine: usize) {
        let slot = &mut self.machines[machine];
        let Some(replica) = &slot.replica else { return };
        let history = replica.state();
        if history.entries.len() != slot.checked_entries {
            self.checker.check_state(history, slot.checked_entries);
            slot.checked_entries = history.entries.len();
        }
    }

    /// Checks the durability invariant on the disks of all machines that were not removed.
    pub(super) fn check_disks(&self) {
        let present = self.machines.iter().filter(|machine| !machine.removed);
        let survivors: Vec<Survivor> =
            present.map(|machine| Survivor { id: machine.id, disk: &machine.disk }).collect();
        let violation =
            durability::violation(&survivors, &self.checker.positions, self.options.tolerated_machines);
        assert!(violation.is_none(), "{}", violation.unwrap_or_default());
    }

    pub(super) fn check_leases(&mut self) {
        let mut holders = Vec::new();
        // A machine whose clock is paused does nothing before it has learned of the clock jump.
        let unpaused = |machine: &usize| self.machines[*machine].paused_at.is_none();
        let unpaused: Vec<usize> = (0..self.machines.len()).filter(unpaused).collect();
        for machine in unpaused.iter().copied() {
            if let Some(Role::Primary { epoch, holds_lease: true }) = self.role(machine) {
                let slot = &mut self.machines[machine];
                holders.push((slot.name.clone(), epoch));
                if let Some(replica) = &slot.replica {
                    slot.verified_commands =
                        self.checker.check_nothing_lost(replica.state(), slot.verified_commands);
                }
            }
        }
        self.checker.check_holders(&holders);
        if self.options.checks_messages {
            unpaused.into_iter().for_each(|machine| self.check_grants(machine));
        }
    }

    /// Records the lease that a message grants, if it grants one.
    pub(super) fn record_grant(&mut self, witness: NodeId, grantee: NodeId, body: &Body) {
        if let Body::LeaseGrant(grant) = body {
            if grant.granted && grant.round != PROBE_ROUND {
                self.grants.insert((witness, grantee), (grant.epoch, self.now));
            }
        }
    }

    /// Checks that a lease which a machine holds was granted by a majority of each witness set of its view,
    /// after the machine was elected and within the last `LEASE_MS`.
    fn check_grants(&self, machine: usize) {
        let Some(Role::Primary { epoch, holds_lease: true }) = self.role(machine) else { return };
        let Some(view) = self.machines[machine].replica.as_ref().and_then(Replica::view) else { return };
        let elected_in = self.machines[machine].elected_in.unwrap_or(epoch);
        let me = self.machines[machine].id;
        let has_granted = |witness: &&NodeId| {
            let granted = self.grants.get(&(**witness, me));
            let counts = |(in_epoch, at): &(u64, u64)| *in_epoch >= elected_in && self.now <= at + LEASE_MS;
            **witness == me || granted.is_some_and(counts)
        };
        let previous = (!view.activated).then_some(&view.previous_witnesses);
        for set in [&view.witnesses].into_iter().chain(previous) {
            let count = set.iter().filter(has_granted).count();
            let name = &self.machines[machine].name;
            assert!(
                2 * count > set.len(),
                "{name} holds a lease of epoch {epoch} that only {count} witnesses have granted"
            );
        }
    }

    pub(super) fn local_time(&self, machine: usize) -> Duration {
        let Machine { started_at, clock_rate, clock_lag, paused_at, .. } = self.machines[machine];
        let now = paused_at.unwrap_or(self.now);
        Duration::from_micros((now - started_at - clock_lag) * clock_rate)
    }

    pub fn trace_event(&mut self, machine: usize, what: &str) {
        let name = &self.machines[machine].name;
        self.trace.push(format!("{:>7} {name} {what}", self.now));
        if prints_trace() {
            eprintln!("{}", self.trace[self.trace.len() - 1]);
        }
    }
}
