//! Starts and stops machines and injects faults into them.

use quillpulley_protocol::NodeId;
use quillpulley_replication::{Event, FaultTolerance, Options, Replica, Role};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::command_history::CommandHistory;
use super::disk::{DiskImage, DiskMode};
use super::network::NetworkOptions;
use super::simulation::{
    address, Machine, ScheduledEvent, Simulation, SimulationOptions, COMPACT_BYTES, CONNECT_MS, DETECTION_MS,
    MIN_WRITE_MS, ZONES,
};

/// Returns the name of a machine: a letter, or from the 27th machine on `m` and its number.
fn name(machine: usize) -> String {
    match u8::try_from(machine) {
        Ok(number) if number < 26 => char::from(b'a' + number).to_string(),
        _ => format!("m{machine}"),
    }
}

impl Simulation {
    /// Creates a simulation of `count` machines that start for the first time, all within 300 ms. The first ones
    /// are the bootstrap witnesses, whose number is `bootstrap_witnesses`.
    pub fn first_start(options: SimulationOptions, count: usize, bootstrap_witnesses: usize) -> Self {
        let mut simulation = Simulation::new(options);
        let witnesses: Vec<NodeId> =
            (0..bootstrap_witnesses).map(|machine| NodeId::new(address(machine), 0)).collect();
        for machine in 0..count {
            simulation.add(NodeId::new(address(machine), 0), Some(witnesses.clone()));
        }
        for machine in 0..count {
            let pause = simulation.random.u64(0..300 / count as u64);
            simulation.run_for(pause);
            simulation.start(machine);
        }
        simulation
    }

    /// Adds a machine without a process. Returns its number.
    pub fn add(&mut self, id: NodeId, bootstrap: Option<Vec<NodeId>>) -> usize {
        let number = self.machines.len();
        self.machines.push(Machine {
            name: name(number),
            id,
            bootstrap,
            disk: DiskImage::default(),
            disk_mode: DiskMode::Healthy,
            replica: None,
            process: 0,
            started_at: 0,
            clock_rate: 1000,
            frozen: false,
            removed: false,
            buffered: VecDeque::new(),
            write: None,
            connections: BTreeMap::new(),
            checked_entries: 0,
            verified_commands: 0,
            buffered_reads: 0,
            writes: 0,
            elected_in: None,
            clock_lag: 0,
            paused_at: None,
            quota: None,
            postponed: Vec::new(),
            zone: number % ZONES,
        });
        number
    }

    /// Adds a machine at a new address with an empty disk, and starts it.
    pub fn add_spare(&mut self) -> usize {
        self.add_spare_in(self.machines.len() % ZONES)
    }

    /// Adds a machine like [`Simulation::add_spare`], in the given zone.
    pub fn add_spare_in(&mut self, zone: usize) -> usize {
        let incarnation = self.random.u64(1..);
        let number = self.add(NodeId::new(address(self.machines.len()), incarnation), None);
        self.machines[number].zone = zone;
        self.start(number);
        number
    }

    pub fn start(&mut self, machine: usize) {
        let now = self.now;
        let options = Options {
            me: self.machines[machine].id,
            locality: self.locality_of(machine),
            bootstrap: self.machines[machine].bootstrap.clone(),
            fault_tolerance: FaultTolerance {
                machines: self.options.tolerated_machines,
                zones: self.options.tolerated_zones,
                regions: self.options.tolerated_regions,
            },
            seed: self.random.u64(..),
            compact_entries: self.options.compact_entries,
            compact_bytes: COMPACT_BYTES,
            faults: self.options.faults,
            ..Options::default()
        };
        let drift = self.options.clock_drift;
        let clock_rate = if drift == 0 { 1000 } else { 1000 - drift + self.random.u64(0..=2 * drift) };
        let slot = &mut self.machines[machine];
        slot.clock_rate = clock_rate;
        assert!(slot.replica.is_none(), "{} runs already", slot.name);
        let recovered = slot.disk.recovered();
        let replica = Replica::new(options, recovered, CommandHistory::default(), Duration::ZERO)
            .expect("the disk is corrupt");
        slot.process += 1;
        slot.started_at = now;
        slot.replica = Some(replica);
        slot.frozen = false;
        slot.checked_entries = 0;
        slot.verified_commands = 0;
        slot.buffered_reads = 0;
        slot.writes = 0;
        slot.elected_in = None;
        slot.clock_lag = 0;
        slot.postponed.clear();
        slot.paused_at = None;
        let process = slot.process;
        self.trace_event(machine, "starts");
        self.check_state(machine);
        self.schedule(1, ScheduledEvent::Tick { machine, process });
        self.reconnect(machine);
    }

    /// Kills the process. The other machines detect this after `CONNECT_MS`, or after `DETECTION_MS` if the
    /// machine lost power, since then it does not close its connections.
    pub fn kill(&mut self, machine: usize, loses_power: bool) {
        self.trace_event(machine, if loses_power { "loses power" } else { "is killed" });
        let kept = self.random.usize(0..4);
        let slot = &mut self.machines[machine];
        if slot.replica.take().is_none() {
            return;
        }
        if let Some((_, write)) = slot.write.take() {
            if slot.disk_mode != DiskMode::Full {
                slot.disk.apply_torn(write, kept);
            }
        }
        slot.connections.clear();
        slot.buffered.clear();
        let detection = if loses_power { DETECTION_MS } else { CONNECT_MS };
        for other in 0..self.machines.len() {
            self.schedule_disconnect(other, machine, detection);
        }
    }

    /// Erases the disk of a machine whose process does not run. The machine returns as a new node, unless the
    /// option `keeps_identity` is set.
    pub fn wipe(&mut self, machine: usize) {
        self.trace_event(machine, "loses its disk");
        let incarnation = self.random.u64(1..);
        self.lost.push((self.machines[machine].id, self.now));
        let slot = &mut self.machines[machine];
        assert!(slot.replica.is_none());
        slot.disk = DiskImage::default();
        slot.disk_mode = DiskMode::Healthy;
        if !self.options.keeps_identity {
            slot.id.incarnation = incarnation;
        }
        slot.bootstrap = None;
    }

    /// Removes a machine permanently, with its disk.
    pub fn remove(&mut self, machine: usize) {
        self.kill(machine, true);
        self.trace_event(machine, "is removed");
        self.lost.push((self.machines[machine].id, self.now));
        self.machines[machine].removed = true;
    }

    /// Ends all faults: afterwards every machine that was not removed runs and reaches every other.
    pub fn end_all_faults(&mut self) {
        self.trace.push(format!("{:>7} all faults end", self.now));
        self.network.heal_all();
        self.network.options = NetworkOptions::default();
        for machine in 0..self.machines.len() {
            if self.machines[machine].removed {
                continue;
            }
            if self.machines[machine].disk_mode != DiskMode::Healthy {
                self.set_disk(machine, DiskMode::Healthy);
            }
            if self.machines[machine].frozen {
                self.resume(machine);
            }
            if self.role(machine) == Some(Role::ShuttingDown) {
                self.kill(machine, false);
            }
            if !self.is_running(machine) {
                self.start(machine);
            }
        }
    }

    pub fn freeze(&mut self, machine: usize) {
        self.trace_event(machine, "freezes");
        self.machines[machine].frozen = true;
    }

    /// Freezes the process of a machine and stops its clock, as the suspension of a virtual machine does.
    pub fn pause(&mut self, machine: usize) {
        if self.is_running(machine) && !self.machines[machine].frozen {
            self.machines[machine].paused_at = Some(self.now);
            self.freeze(machine);
        }
    }

    /// Lets the clock continue from where it stopped. The process learns of the jump, as from the time of
    /// day, if the option `notices_clock_jumps` is set.
    fn end_pause(&mut self, machine: usize) {
        let Some(paused_at) = self.machines[machine].paused_at.take() else { return };
        self.machines[machine].clock_lag += self.now - paused_at;
        if self.options.notices_clock_jumps {
            self.handle(machine, Event::ClockJumped);
        }
    }

    pub fn resume(&mut self, machine: usize) {
        self.trace_event(machine, "resumes");
        self.machines[machine].frozen = false;
        self.end_pause(machine);
        // Responses that were about to be written when the process froze are written first.
        for _ in 0..std::mem::take(&mut self.machines[machine].buffered_reads) {
            self.serve_read(machine);
        }
        while let Some(event) = self.machines[machine].buffered.pop_front() {
            self.handle(machine, event);
        }
    }

    pub fn set_disk(&mut self, machine: usize, disk_mode: DiskMode) {
        self.trace_event(machine, &format!("has its disk in mode {disk_mode:?}"));
        let slot = &mut self.machines[machine];
        slot.disk_mode = disk_mode;
        if let (Some((ticket, _)), true) = (&slot.write, disk_mode != DiskMode::Hangs) {
            let done = ScheduledEvent::WriteDone { machine, process: slot.process, ticket: *ticket };
            self.schedule(MIN_WRITE_MS, done);
        }
    }

    /// Sends the shutdown signal to the process.
    pub fn shut_down(&mut self, machine: usize) {
        self.trace_event(machine, "is signalled to shut down");
        self.handle(machine, Event::Shutdown);
    }

    /// Schedules the connections between a machine that has started and all others, in both directions.
    pub(super) fn reconnect(&mut self, machine: usize) {
        for other in (0..self.machines.len()).filter(|other| *other != machine) {
            for (one, two) in [(machine, other), (other, machine)] {
                let process = self.machines[one].process;
                self.schedule(CONNECT_MS, ScheduledEvent::Connect { machine: one, process, other: two });
            }
        }
    }

    /// Partitions two machines from each other, in both directions.
    pub fn partition_pair(&mut self, one: usize, other: usize) {
        self.network.partition(one, other);
        self.network.partition(other, one);
        self.detect_partitions();
    }

    /// Schedules the disconnects of all connections that a partition interrupts in either direction.
    pub fn detect_partitions(&mut self) {
        for one in 0..self.machines.len() {
            for other in 0..self.machines.len() {
                if one != other && !self.network.can_exchange(one, other) {
                    self.schedule_disconnect(one, other, DETECTION_MS);
                }
            }
        }
    }

    pub(super) fn schedule_disconnect(&mut self, machine: usize, other: usize, delay: u64) {
        let slot = &self.machines[machine];
        if let Some(id) = slot.connections.get(&other).copied() {
            let disconnect = ScheduledEvent::Disconnect { machine, process: slot.process, other, id };
            self.schedule(delay, disconnect);
        }
    }
}
