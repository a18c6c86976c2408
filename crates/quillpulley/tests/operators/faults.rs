//! Starts and stops processes, and injects faults into machines, disks and links.

use super::disk::{DiskImage, DiskMode};
use super::network::NetworkOptions;
use super::node::{Input, Node};
use super::world::{address, zone, ScheduledEvent, World};
use quillpulley::control::confirmations::ConfirmationId;
use quillpulley_protocol::NodeId;
use quillpulley_replication::{Event, FaultTolerance, Locality, Options, Role};

/// The number of applied entries above which the log is compacted: so few that snapshots are frequent.
const COMPACT_ENTRIES: usize = 8;

impl World {
    /// Starts a process on a machine unless one runs there.
    pub fn start(&mut self, machine: usize) {
        let seeds = (0..self.tolerated_machines * 2 + 1).map(|seed| NodeId::new(address(seed), 0)).collect();
        let slot = &mut self.machines[machine];
        if slot.node.is_some() {
            return;
        }
        let options = Options {
            me: slot.id,
            locality: Locality { zone: zone(machine), region: "region".to_string() },
            bootstrap: slot.bootstrap.then_some(seeds),
            fault_tolerance: FaultTolerance { machines: self.tolerated_machines, zones: 1, regions: 0 },
            seed: self.random.u64(..),
            compact_entries: COMPACT_ENTRIES,
            ..Options::default()
        };
        slot.node = Some(Node::new(options, slot.disk.recovered(), self.fault));
        slot.process += 1;
        slot.confirmation = ConfirmationId::default();
        slot.started_at = self.now;
        slot.frozen = false;
        let process = slot.process;
        self.schedule(1, ScheduledEvent::Tick { machine, process });
    }

    /// Ends the process. A random part of the write in flight reaches the disk, unless the disk is full. Open
    /// requests to the process end without a response.
    pub fn kill(&mut self, machine: usize) {
        let kept_entries = self.random.usize(0..4);
        let slot = &mut self.machines[machine];
        if slot.node.take().is_none() {
            return;
        }
        if let (Some((_, write)), true) = (slot.pending_write.take(), slot.disk_mode != DiskMode::Full) {
            slot.disk.apply_torn(write, kept_entries);
        }
        slot.connections.clear();
        slot.broken_since.clear();
        slot.buffered.clear();
        for id in 0..self.target_machines.len() {
            if self.target_machines[id] == machine && self.checker.sent_requests[id].is_open {
                self.complete_request(id, None);
            }
        }
    }

    /// Ends the process and empties its disk. The machine restarts as a new node: with another incarnation,
    /// and without bootstrapping the cluster.
    pub fn wipe(&mut self, machine: usize) {
        self.kill(machine);
        let incarnation = self.random.u64(1..);
        let slot = &mut self.machines[machine];
        slot.disk = DiskImage::default();
        slot.disk_mode = DiskMode::Healthy;
        slot.id.incarnation = incarnation;
        slot.bootstrap = false;
    }

    /// Pauses the process. Its inputs are buffered until it resumes.
    pub fn freeze(&mut self, machine: usize) {
        self.machines[machine].frozen = true;
    }

    /// Resumes a frozen process, which then handles the buffered inputs.
    pub fn resume(&mut self, machine: usize) {
        self.machines[machine].frozen = false;
        while let Some(input) = self.machines[machine].buffered.pop_front() {
            self.handle(machine, input);
        }
    }

    /// Shuts the replica down gracefully; the process keeps running.
    pub fn shut_down(&mut self, machine: usize) {
        self.handle(machine, Input::Event(Event::Shutdown));
    }

    /// Changes the mode of a disk. The write in flight completes in the new mode, unless that mode is
    /// `Hangs`.
    pub fn set_disk_mode(&mut self, machine: usize, mode: DiskMode) {
        let slot = &mut self.machines[machine];
        slot.disk_mode = mode;
        let process = slot.process;
        let pending_ticket = slot.pending_write.as_ref().map(|(ticket, _)| *ticket);
        if let (Some(ticket), true) = (pending_ticket, mode != DiskMode::Hangs) {
            self.schedule(2, ScheduledEvent::WriteDone { machine, process, ticket });
        }
    }

    /// Partitions a machine from all others. Unless `both_directions` is set, only the messages that it sends
    /// are lost.
    pub fn isolate(&mut self, machine: usize, both_directions: bool) {
        for other in (0..self.machines.len()).filter(|other| *other != machine) {
            self.network.partition(machine, other);
            if both_directions {
                self.network.partition(other, machine);
            }
        }
    }

    /// Returns the machine whose process holds the lease and is not frozen; `None` if there is none.
    pub fn leader(&self) -> Option<usize> {
        let is_leader = |machine: &usize| {
            let now = self.process_time(*machine);
            let slot = &self.machines[*machine];
            let role = slot.node.as_ref().map(|node| node.replica.role(now));
            !slot.frozen && matches!(role, Some(Role::Primary { holds_lease: true, .. }))
        };
        (0..self.machines.len()).find(is_leader)
    }

    /// Returns whether every machine runs a process that is both a member and a witness of an activated view.
    /// Only then may a machine lose its disk.
    pub fn has_full_membership(&self) -> bool {
        let Some(node) = self.leader().and_then(|leader| self.machines[leader].node.as_ref()) else {
            return false;
        };
        let Some(view) = node.replica.view() else { return false };
        let is_included =
            |id: &NodeId| (view.primary == *id || view.backups.contains(id)) && view.witnesses.contains(id);
        let all_included =
            self.machines.iter().all(|machine| machine.node.is_some() && is_included(&machine.id));
        all_included && view.activated && view.witnesses.len() == self.machines.len()
    }

    /// Ends all faults, and starts a process on every machine that has none or whose process is shutting
    /// down.
    pub fn heal(&mut self) {
        self.network.heal_all();
        self.network.options = NetworkOptions::default();
        (self.lost_response_percent, self.held_up_percent) = (0, 0);
        for machine in 0..self.machines.len() {
            self.set_disk_mode(machine, DiskMode::Healthy);
            if self.machines[machine].frozen {
                self.resume(machine);
            }
            let now = self.process_time(machine);
            let role = self.machines[machine].node.as_ref().map(|node| node.replica.role(now));
            if role == Some(Role::ShuttingDown) {
                self.kill(machine);
            }
            self.start(machine);
        }
    }
}
