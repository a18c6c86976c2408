//! The processes: what arrives at them, and what they do with it.

use super::{Event, Item, Process, World, KILOBYTE_COST_US, MESSAGE_COST_US};
use crate::hosts::agent::AgentHost;
use crate::hosts::control::ControlHost;
use crate::hosts::proxy::ProxyHost;
use crate::hosts::{Context, Host, Input, LinkId, Output, ProcessKind};
use crate::network::{Connection, End, EndState};
use crate::published;
use crate::topology::ROOT;
use quillpulley_protocol::Body;
use std::time::Duration;

/// The time between the end of a process that was restarted and its start.
const RESTART_GAP_US: u64 = 1_000_000;

/// Processes.
impl World {
    pub(super) fn start_machine(&mut self, machine: usize) {
        self.machines[machine].restarts = false;
        self.measurement.trouble_ended(self.now, machine);
        self.log(machine, "starts");
        for process in self.machines[machine].processes.clone() {
            self.start_process(process);
        }
    }

    pub(super) fn start_process(&mut self, process: usize) {
        let state = &self.processes[process];
        let settings = &self.places[state.machine].settings;
        let seed = self.parameters.seed.wrapping_mul(1_000_003)
            ^ (state.incarnation << 32 | (process as u64) << 8 | 1);
        let host: Box<dyn Host> = match state.kind {
            ProcessKind::Control => Box::new(ControlHost::new(settings, self.places[ROOT].settings.ip, seed)),
            ProcessKind::Agent => Box::new(AgentHost::new(settings, seed)),
            ProcessKind::Proxy => Box::new(ProxyHost::new(settings, self.now)),
        };
        let state = &mut self.processes[process];
        state.host = Some(host);
        state.incarnation += 1;
        state.started_at = self.now;
        state.is_listening = true;
        state.is_frozen = false;
        state.inbox.clear();
        state.busy_until = self.now;
        state.run_at = None;
        self.schedule_run(process, self.now);
    }

    /// Ends a process. Its connections are closed, and the peers learn of it if the machine has power.
    pub(super) fn end_process(&mut self, process: usize) {
        let links = self.links_of(process);
        let state = &mut self.processes[process];
        state.host = None;
        state.incarnation += 1;
        state.inbox.clear();
        links.into_iter().for_each(|(link, side)| self.close(link, side));
    }

    pub(super) fn links_of(&self, process: usize) -> Vec<(LinkId, usize)> {
        let incarnation = self.processes[process].incarnation;
        let side = |(link, connection): (&LinkId, &Connection)| {
            let is_own = |end: &End| end.process == process && end.incarnation == incarnation;
            connection.ends.iter().position(is_own).map(|side| (*link, side))
        };
        self.connections.iter().filter_map(side).collect()
    }

    pub(super) fn push_item(&mut self, process: usize, item: Item) {
        if self.processes[process].host.is_none() {
            return;
        }
        self.processes[process].inbox.push_back(item);
        self.schedule_run(process, self.now);
    }

    /// Passes an item to the process at one end of a connection, if that is still the same process.
    pub(super) fn push_link_item(&mut self, link: LinkId, side: usize, item: Item) {
        let Some(connection) = self.connections.get(&link) else { return };
        let end = &connection.ends[side];
        if end.state != EndState::Closed && self.processes[end.process].incarnation == end.incarnation {
            self.push_item(end.process, item);
        }
    }

    pub(super) fn schedule_run(&mut self, process: usize, at: u64) {
        let state = &mut self.processes[process];
        let at = at.max(state.busy_until);
        if state.run_at.is_none_or(|run_at| at < run_at) {
            state.run_at = Some(at);
            self.schedule_at(at, Event::Run { process });
        }
    }

    pub(super) fn run(&mut self, process: usize) {
        let state = &mut self.processes[process];
        if state.run_at != Some(self.now) || state.host.is_none() {
            return;
        }
        state.run_at = None;
        if state.is_frozen {
            return;
        }
        let mut cost_us = 0.0;
        if let Some(item) = state.inbox.pop_front() {
            cost_us += self.handle_item(process, item);
        }
        if self.processes[process].inbox.is_empty() {
            cost_us += self.with_host(process, |host, context| host.tick(context));
        }
        self.observe(process);
        let state = &mut self.processes[process];
        let Some(host) = &state.host else { return };
        state.busy_until = self.now + (cost_us / self.parameters.cores) as u64;
        let now = Duration::from_micros(self.now - state.started_at);
        let wake_at = state.started_at.saturating_add(host.next_wake(now).as_micros() as u64);
        let next = if state.inbox.is_empty() { wake_at.max(self.now + 1) } else { self.now };
        self.schedule_run(process, next);
    }

    /// Measures the state of a process after it has run.
    pub(super) fn observe(&mut self, process: usize) {
        let Process { machine, kind, host: Some(host), .. } = &self.processes[process] else { return };
        match kind {
            ProcessKind::Proxy => {
                let tick = host.revision().tick;
                if self.measurement.is_new(*machine, tick) {
                    self.measurement.received(self.now, *machine, tick, published::version(host.store()));
                }
            }
            ProcessKind::Control if *machine == ROOT => {
                self.measurement.revision_published(self.now, host.revision().tick);
            }
            ProcessKind::Control | ProcessKind::Agent => {}
        }
    }

    /// Returns the cost of handling an item, in processor time of a whole core.
    pub(super) fn handle_item(&mut self, process: usize, item: Item) -> f64 {
        match item {
            Item::Accepted { link } => {
                let limit = self.processes[process].host.as_ref().map_or(0, |host| host.max_incoming());
                if self.incoming_count(process) > limit {
                    self.close(link, 1);
                    return MESSAGE_COST_US;
                }
                self.establish(link, 1)
            }
            Item::Connected { link } => self.establish(link, 0),
            Item::Data { link, bytes } => self.handle_data(process, link, &bytes),
            Item::PeerClosed { link } | Item::Failed { link } => self.link_ended(process, link),
            Item::HelloTimeout { link } => match self.state_of(process, link) {
                Some(EndState::Established | EndState::Connecting) => {
                    let side = self.side(process, link);
                    self.close(link, side);
                    self.with_host(process, |host, context| host.handle(context, Input::Closed { link }))
                }
                _ => 0.0,
            },
            Item::Datagram { from, body } => self.handle_input(process, Input::Datagram { from, body }),
            Item::Shutdown => self.handle_input(process, Input::Shutdown),
            Item::Publish(changes) => self.handle_input(process, Input::Publish(changes)),
        }
    }

    pub(super) fn handle_input(&mut self, process: usize, input: Input) -> f64 {
        MESSAGE_COST_US + self.with_host(process, |host, context| host.handle(context, input))
    }

    pub(super) fn handle_data(&mut self, process: usize, link: LinkId, bytes: &[u8]) -> f64 {
        let side = self.side(process, link);
        let Some(connection) = self.connections.get_mut(&link) else { return 0.0 };
        let end = &mut connection.ends[side];
        if !end.is_usable() {
            return 0.0;
        }
        end.decoder.push(bytes);
        let mut cost_us = bytes.len() as f64 / 1_024.0 * KILOBYTE_COST_US;
        loop {
            let Some(connection) = self.connections.get_mut(&link) else { return cost_us };
            let end = &mut connection.ends[side];
            if !end.is_usable() {
                return cost_us;
            }
            let body = end.decoder.next_frame().expect("messages are valid");
            let (received, acknowledged) = (end.decoder.take_received(), end.decoder.take_acknowledged());
            if received > 0 {
                end.queue.acknowledge_chunks(received);
            }
            end.queue.receive_acknowledgement(acknowledged);
            let is_open = end.state == EndState::Open;
            if body.is_some() && !is_open {
                end.state = EndState::Open;
            }
            self.send_waiting(link, side);
            let input = match body {
                None => return cost_us,
                Some(Body::Hello(hello)) if !is_open => {
                    Input::Opened { link, hello: *hello, incoming: side == 1 }
                }
                Some(body) => Input::Frame { link, body },
            };
            cost_us += self.handle_input(process, input);
        }
    }

    /// Handles the end of a connection that the peer has closed or that has failed.
    pub(super) fn link_ended(&mut self, process: usize, link: LinkId) -> f64 {
        let side = self.side(process, link);
        let Some(connection) = self.connections.get_mut(&link) else { return 0.0 };
        let previous = std::mem::replace(&mut connection.ends[side].state, EndState::Closed);
        self.forget_if_closed(link);
        if previous == EndState::Closed {
            return 0.0;
        }
        self.handle_input(process, Input::Closed { link })
    }

    /// Runs a function of a process, and performs what it does. Returns the cost of the messages that are sent.
    pub(super) fn with_host(&mut self, process: usize, run: impl FnOnce(&mut dyn Host, &mut Context)) -> f64 {
        let now = Duration::from_micros(self.now - self.processes[process].started_at);
        let Some(mut host) = self.processes[process].host.take() else { return 0.0 };
        let mut context = Context { now, next_link: &mut self.next_link, outputs: Vec::new() };
        run(host.as_mut(), &mut context);
        let outputs = context.outputs;
        self.processes[process].host = Some(host);
        let mut cost_us = 0.0;
        for output in outputs {
            cost_us += self.perform(process, output);
        }
        cost_us
    }

    pub(super) fn perform(&mut self, process: usize, output: Output) -> f64 {
        match output {
            Output::Connect { link, to } => self.connect(process, link, to),
            Output::Send { links, body } => return self.send(process, &links, &body),
            Output::Close(link) => {
                let side = self.side(process, link);
                self.close(link, side);
            }
            Output::Datagram { to, body } => self.send_datagram(process, to, body),
            Output::StopListening => self.processes[process].is_listening = false,
            Output::Exit => self.exit(process),
            Output::Log(line) => {
                let machine = self.processes[process].machine;
                self.log(machine, line);
            }
        }
        MESSAGE_COST_US
    }

    /// Ends a process after its drain. When the agent has ended, the machine is started again.
    pub(super) fn exit(&mut self, process: usize) {
        if self.processes[process].host.is_none() {
            return;
        }
        self.end_process(process);
        let machine = self.processes[process].machine;
        if self.processes[process].kind == ProcessKind::Agent && self.machines[machine].restarts {
            self.log(machine, "has drained");
            self.schedule(RESTART_GAP_US, Event::StartMachine { machine });
        }
    }

    pub(super) fn incoming_count(&self, process: usize) -> usize {
        let is_incoming = |connection: &&Connection| {
            connection.ends[1].process == process && connection.ends[1].state != EndState::Closed
        };
        self.connections.values().filter(is_incoming).count()
    }

    pub(super) fn side(&self, process: usize, link: LinkId) -> usize {
        let connection = self.connections.get(&link);
        connection.map_or(0, |connection| usize::from(connection.ends[1].process == process))
    }

    pub(super) fn state_of(&self, process: usize, link: LinkId) -> Option<EndState> {
        let side = self.side(process, link);
        self.connections.get(&link).map(|connection| connection.ends[side].state)
    }
}
