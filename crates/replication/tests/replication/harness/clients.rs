//! Clients, which send commands and read the replicated state. They may send a command again, or several
//! commands on the same base.

use quillpulley_replication::{Event, Role};

use super::command_history::Command;
use super::simulation::{ScheduledEvent, Simulation};

/// The maximum padding of a payload in bytes.
const MAX_PADDING_BYTES: usize = 300;
/// The maximum time from a read to its response, unless the process is frozen in between.
const MAX_READ_MS: u64 = 5;

impl Simulation {
    /// Sends a new command to a machine, with the version of its state as the base. Returns the number of the
    /// command.
    pub fn propose(&mut self, machine: usize) -> u64 {
        let base = self.machines[machine].replica.as_ref().map_or(0, |replica| replica.state().version());
        let number = self.commands.len() as u64 + 1;
        let command = Command { number, base };
        self.commands.push(command);
        self.send_command(machine, command);
        number
    }

    /// Sends a command again with the same base, whether or not its outcome was reported.
    pub fn propose_again(&mut self, machine: usize, number: u64) {
        if let Some(command) = self.commands.get(number as usize - 1).copied() {
            self.send_command(machine, command);
        }
    }

    /// Returns the number of commands that were created.
    pub fn command_count(&self) -> u64 {
        self.commands.len() as u64
    }

    fn send_command(&mut self, machine: usize, command: Command) {
        self.proposals.push(command);
        let proposal = self.proposals.len() as u64;
        let mut payload = command.payload(proposal);
        payload.resize(payload.len() + self.random.usize(0..=MAX_PADDING_BYTES), 0);
        self.received_proposals.push((proposal, machine, self.machines[machine].process));
        self.trace_event(machine, &format!("receives command {} on base {}", command.number, command.base));
        self.handle(machine, Event::Propose { proposal, payload });
    }

    /// Returns the number of the command that a proposal contains.
    pub(super) fn command_of(&self, proposal: u64) -> u64 {
        self.proposals[proposal as usize - 1].number
    }

    /// Sends a read to a machine, which serves it after a random delay.
    pub fn read(&mut self, machine: usize) {
        let delay = self.random.u64(0..=MAX_READ_MS);
        let process = self.machines[machine].process;
        self.trace_event(machine, "receives a read");
        self.schedule(delay, ScheduledEvent::Read { machine, process });
    }

    pub(super) fn complete_read(&mut self, machine: usize, process: u64) {
        if !self.runs_process(machine, process) {
            return;
        }
        if self.machines[machine].frozen {
            self.machines[machine].buffered_reads += 1;
        } else {
            self.serve_read(machine);
        }
    }

    /// Serves a read and checks it, unless the replica refuses to answer reads.
    pub(super) fn serve_read(&mut self, machine: usize) {
        let now = self.local_time(machine);
        let has_lease = matches!(self.role(machine), Some(Role::Primary { holds_lease: true, .. }));
        let Some(replica) = &self.machines[machine].replica else { return };
        if replica.can_answer(now) {
            self.reads += 1;
            self.checker.check_read(replica.state(), has_lease);
        }
    }
}
