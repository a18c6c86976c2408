//! What is done to machines.

use super::disk::{DiskImage, DiskMode};
use super::network::NetworkOptions;
use super::node::{Input, Node};
use super::world::{address, zone, Happening, World};
use quillpulley_protocol::NodeId;
use quillpulley_replication::{Event, FaultTolerance, Locality, Options, Role};

/// So few entries that snapshots are frequent.
const COMPACT_ENTRIES: usize = 8;

impl World {
    pub fn start(&mut self, machine: usize) {
        let seeds = (0..self.tolerated * 2 + 1).map(|seed| NodeId::new(address(seed), 0)).collect();
        let slot = &mut self.machines[machine];
        if slot.node.is_some() {
            return;
        }
        let options = Options {
            me: slot.id,
            locality: Locality { zone: zone(machine), region: "region".to_string() },
            bootstrap: slot.bootstrap.then_some(seeds),
            fault_tolerance: FaultTolerance { machines: self.tolerated, zones: 1, regions: 0 },
            seed: self.random.u64(..),
            compact_entries: COMPACT_ENTRIES,
            ..Options::default()
        };
        slot.node = Some(Node::new(options, slot.disk.recovered(), self.fault));
        slot.life += 1;
        slot.started_at = self.now;
        slot.frozen = false;
        let life = slot.life;
        self.plan(1, Happening::Tick { machine, life });
    }

    /// Ends the process, with any part of the write under way on its disk.
    pub fn kill(&mut self, machine: usize) {
        let torn = self.random.usize(0..4);
        let slot = &mut self.machines[machine];
        if slot.node.take().is_none() {
            return;
        }
        if let (Some((_, write)), true) = (slot.write.take(), slot.mode != DiskMode::Full) {
            slot.disk.apply_torn(write, torn);
        }
        slot.connections.clear();
        slot.broken_since.clear();
        slot.held.clear();
        for call in 0..self.handle_request.len() {
            if self.handle_request[call] == machine && self.checker.calls[call].open {
                self.end_call(call, None);
            }
        }
    }

    /// Empties the disk of a machine, which comes back as another node.
    pub fn wipe(&mut self, machine: usize) {
        self.kill(machine);
        let incarnation = self.random.u64(1..);
        let slot = &mut self.machines[machine];
        slot.disk = DiskImage::default();
        slot.mode = DiskMode::Good;
        slot.id.incarnation = incarnation;
        slot.bootstrap = false;
    }

    pub fn freeze(&mut self, machine: usize) {
        self.machines[machine].frozen = true;
    }

    pub fn wake(&mut self, machine: usize) {
        self.machines[machine].frozen = false;
        while let Some(input) = self.machines[machine].held.pop_front() {
            self.handle(machine, input);
        }
    }

    pub fn stop(&mut self, machine: usize) {
        self.handle(machine, Input::Event(Event::Shutdown));
    }

    pub fn set_disk(&mut self, machine: usize, mode: DiskMode) {
        let slot = &mut self.machines[machine];
        slot.mode = mode;
        let life = slot.life;
        let waiting = slot.write.as_ref().map(|(ticket, _)| *ticket);
        if let (Some(ticket), true) = (waiting, mode != DiskMode::Hangs) {
            self.plan(2, Happening::WriteCompletion { machine, life, ticket });
        }
    }

    /// Cuts a machine off from all others; one-way, only what it sends is lost.
    pub fn cut_off(&mut self, machine: usize, both: bool) {
        for other in (0..self.machines.len()).filter(|other| *other != machine) {
            self.network.cut(machine, other);
            if both {
                self.network.cut(other, machine);
            }
        }
    }

    /// The machine that holds the lease and is not frozen.
    pub fn leader(&self) -> Option<usize> {
        let is_leader = |machine: &usize| {
            let now = self.local(*machine);
            let slot = &self.machines[*machine];
            let role = slot.node.as_ref().map(|node| node.replica.role(now));
            !slot.frozen && matches!(role, Some(Role::Primary { holds_lease: true, .. }))
        };
        (0..self.machines.len()).find(is_leader)
    }

    /// Whether every machine runs, is a member and a witness, so that one may lose its disk.
    pub fn is_whole(&self) -> bool {
        let Some(node) = self.leader().and_then(|leader| self.machines[leader].node.as_ref()) else {
            return false;
        };
        let Some(view) = node.replica.view() else { return false };
        let is_in =
            |id: &NodeId| (view.primary == *id || view.backups.contains(id)) && view.witnesses.contains(id);
        let all = self.machines.iter().all(|machine| machine.node.is_some() && is_in(&machine.id));
        all && view.activated && view.witnesses.len() == self.machines.len()
    }

    /// Ends all troubles.
    pub fn calm(&mut self) {
        self.network.join_all();
        self.network.options = NetworkOptions::default();
        self.lost_answers = 0;
        for machine in 0..self.machines.len() {
            self.set_disk(machine, DiskMode::Good);
            if self.machines[machine].frozen {
                self.wake(machine);
            }
            let now = self.local(machine);
            let role = self.machines[machine].node.as_ref().map(|node| node.replica.role(now));
            if role == Some(Role::ShuttingDown) {
                self.kill(machine);
            }
            self.start(machine);
        }
    }
}
