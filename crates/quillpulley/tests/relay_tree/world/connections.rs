//! The connections between processes, and the links of the machines that carry them.

use super::{Event, Item, World, KILOBYTE_COST_US, MESSAGE_COST_US};
use crate::hosts::{Address, LinkId, ProcessKind};
use crate::network::{wire_bytes, Connection, End, EndState, Packet, RETRANSMISSION_DELAY_US};
use quillpulley_protocol::{Body, Lane, OutgoingMessage};
use std::net::{IpAddr, SocketAddr};

const CONNECT_TIMEOUT_US: u64 = 500_000;
const HELLO_TIMEOUT_US: u64 = 1_000_000;
/// A connection breaks if sent bytes stay unacknowledged for this long (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT_US: u64 = 1_500_000;
const LOOPBACK_LATENCY_US: u64 = 50;
const REGION_LATENCY_US: u64 = 500;
const DISTANT_LATENCY_US: u64 = 35_000;
const MAX_QUEUED_BYTES: usize = 8 * 1024 * 1024;

/// The network.
impl World {
    pub(super) fn is_reachable(&self, from: usize, to: usize) -> bool {
        if self.parted.contains(&(from, to)) {
            return false;
        }
        let (from, to) = (&self.machines[from], &self.machines[to]);
        from.has_power && to.has_power && from.network == to.network
    }

    pub(super) fn machine_of(&self, link: LinkId, side: usize) -> usize {
        self.processes[self.connections[&link].ends[side].process].machine
    }

    pub(super) fn process_at(&self, address: Address) -> Option<usize> {
        let machine = self.places.iter().position(|place| place.settings.ip == address.ip)?;
        let mut processes = self.machines[machine].processes.iter().copied();
        processes.find(|process| self.processes[*process].kind == address.kind)
    }

    pub(super) fn latency_us(&self, from: usize, to: usize) -> u64 {
        match (from == to, self.places[from].region == self.places[to].region) {
            (true, _) => LOOPBACK_LATENCY_US,
            (_, true) => REGION_LATENCY_US,
            _ => DISTANT_LATENCY_US,
        }
    }

    pub(super) fn connect(&mut self, process: usize, link: LinkId, to: Address) {
        let target = self.process_at(to).expect("the address of a process");
        let (from_machine, to_machine) = (self.processes[process].machine, self.processes[target].machine);
        let latency_us = self.latency_us(from_machine, to_machine);
        let ends = [
            End::new(process, self.processes[process].incarnation),
            End::new(target, self.processes[target].incarnation),
        ];
        let is_loopback = from_machine == to_machine;
        self.connections.insert(link, Connection { ends, latency_us, is_loopback });
        self.schedule(latency_us, Event::Syn { link });
        self.schedule(CONNECT_TIMEOUT_US, Event::ConnectTimeout { link });
    }

    /// The first packet of a connection arrives.
    pub(super) fn syn(&mut self, link: LinkId) {
        let Some(connection) = self.connections.get(&link) else { return };
        let latency_us = connection.latency_us;
        let target = connection.ends[1].process;
        if !self.is_reachable(self.machine_of(link, 0), self.machine_of(link, 1)) {
            return;
        }
        if self.processes[target].host.is_none() || !self.processes[target].is_listening {
            return self.schedule(latency_us, Event::Refused { link });
        }
        let incarnation = self.processes[target].incarnation;
        if let Some(connection) = self.connections.get_mut(&link) {
            connection.ends[1].incarnation = incarnation;
        }
        self.push_item(target, Item::Accepted { link });
        self.schedule(latency_us, Event::SynAck { link });
    }

    pub(super) fn fail_connecting(&mut self, link: LinkId) {
        let Some(connection) = self.connections.get_mut(&link) else { return };
        if connection.ends[0].state == EndState::Connecting {
            self.push_link_item(link, 0, Item::HelloTimeout { link });
        }
    }

    /// Sends the `Hello` on a connection that is established. Returns the cost.
    pub(super) fn establish(&mut self, link: LinkId, side: usize) -> f64 {
        let Some(connection) = self.connections.get_mut(&link) else { return 0.0 };
        let end = &mut connection.ends[side];
        if end.state != EndState::Connecting {
            return 0.0;
        }
        end.state = EndState::Established;
        end.queue.enable_compression();
        let process = end.process;
        let Some(host) = &self.processes[process].host else { return 0.0 };
        let hello = Body::Hello(Box::new(host.hello()));
        self.schedule(HELLO_TIMEOUT_US, Event::HelloTimeout { link, side });
        self.send(process, &[link], &hello)
    }

    /// Returns the cost of sending a message on several links.
    pub(super) fn send(&mut self, process: usize, links: &[LinkId], body: &Body) -> f64 {
        let bytes = self.encoder.message(body).to_vec();
        let message = OutgoingMessage::new(Lane::of(body), &bytes);
        for link in links {
            let side = self.side(process, *link);
            let Some(connection) = self.connections.get_mut(link) else { continue };
            let end = &mut connection.ends[side];
            if !end.is_usable() {
                continue;
            }
            match end.queue.push(&message, MAX_QUEUED_BYTES) {
                Ok(()) => self.send_waiting(*link, side),
                Err(_) => self.break_end(*link, side),
            }
        }
        let kilobytes = bytes.len() as f64 / 1_024.0;
        kilobytes * KILOBYTE_COST_US + links.len() as f64 * MESSAGE_COST_US
    }

    pub(super) fn send_datagram(&mut self, process: usize, to: SocketAddr, body: Body) {
        let IpAddr::V4(ip) = to.ip() else { return };
        let Some(target) = self.process_at(Address { ip, kind: ProcessKind::Agent }) else { return };
        let (from_machine, to_machine) = (self.processes[process].machine, self.processes[target].machine);
        let settings = &self.places[from_machine].settings;
        let sender = SocketAddr::from((settings.ip, settings.agent_port()));
        let latency_us = self.latency_us(from_machine, to_machine);
        self.schedule(latency_us, Event::Datagram { from: process, to: target, sender, body });
    }

    /// Sends what waits at one end of a connection as soon as its turn comes.
    pub(super) fn send_waiting(&mut self, link: LinkId, side: usize) {
        let Some(connection) = self.connections.get_mut(&link) else { return };
        let (now, latency_us) = (self.now, connection.latency_us);
        let end = &mut connection.ends[side];
        if connection.is_loopback {
            let packets: Vec<Vec<u8>> = std::iter::from_fn(|| end.next_packet(now)).collect();
            for bytes in packets {
                self.schedule(latency_us, Event::Arrive { link, side, packet: Packet::Bytes(bytes) });
            }
            return;
        }
        if !end.waits_for_link && end.has_packet() {
            end.waits_for_link = true;
            let machine = self.processes[end.process].machine;
            self.machines[machine].waiting.push_back((link, side));
            self.send_packet(machine);
        }
    }

    /// Sends the next packet of a machine. Its connections take turns.
    pub(super) fn send_packet(&mut self, machine: usize) {
        while !self.machines[machine].is_sending {
            let Some((link, side)) = self.machines[machine].waiting.pop_front() else { return };
            let now = self.now;
            let Some(connection) = self.connections.get_mut(&link) else { continue };
            let end = &mut connection.ends[side];
            end.waits_for_link = false;
            let Some(bytes) = end.next_packet(now) else { continue };
            let checks = std::mem::replace(&mut end.checks_progress, true);
            let latency_us = connection.latency_us;
            let packet = Packet::Bytes(bytes);
            let time_us = (wire_bytes(&packet) as f64 / self.machines[machine].bytes_per_us) as u64;
            self.machines[machine].is_sending = true;
            self.machines[machine].sends_until = now + time_us;
            self.schedule(time_us, Event::LinkFree { machine });
            self.schedule(time_us + latency_us, Event::Arrive { link, side, packet });
            if !checks {
                self.schedule(USER_TIMEOUT_US, Event::CheckProgress { link, side });
            }
            self.send_waiting(link, side);
        }
    }

    /// A packet arrives at the machine of the other end, or is lost.
    pub(super) fn arrive(&mut self, link: LinkId, side: usize, packet: Packet) {
        if !self.connections.contains_key(&link) {
            return;
        }
        let (from, to) = (self.machine_of(link, side), self.machine_of(link, 1 - side));
        let is_reachable = self.is_reachable(from, to);
        let Some(connection) = self.connections.get_mut(&link) else { return };
        let is_loopback = connection.is_loopback;
        let end = &mut connection.ends[side];
        if !is_reachable || !end.lost.is_empty() {
            if end.lost.is_empty() && end.state != EndState::Closed {
                let delay_us = end.retransmission_delay_us;
                self.schedule(delay_us, Event::Retransmit { link, side });
            }
            if matches!(packet, Packet::Bytes(_)) {
                self.connections.get_mut(&link).expect("known").ends[side].lost.push_back(packet);
            }
            return;
        }
        if is_loopback {
            return self.deliver(link, side, packet);
        }
        let machine = &mut self.machines[to];
        let time_us = (wire_bytes(&packet) as f64 / machine.bytes_per_us) as u64;
        machine.receives_until = machine.receives_until.max(self.now) + time_us;
        let at = machine.receives_until;
        self.schedule_at(at, Event::Deliver { link, side, packet });
    }

    /// The kernel of the other end's machine receives a packet.
    pub(super) fn deliver(&mut self, link: LinkId, side: usize, packet: Packet) {
        let Some(connection) = self.connections.get(&link) else { return };
        let latency_us = connection.latency_us;
        let end = &connection.ends[1 - side];
        let process = &self.processes[end.process];
        let is_gone = matches!(end.state, EndState::Closed | EndState::Broken)
            || process.host.is_none()
            || process.incarnation != end.incarnation;
        match packet {
            Packet::Close => self.push_link_item(link, 1 - side, Item::PeerClosed { link }),
            Packet::Bytes(_) if is_gone => self.schedule(latency_us, Event::Reset { link, side }),
            Packet::Bytes(bytes) => {
                self.schedule(latency_us, Event::Acknowledged { link, side, bytes: bytes.len() });
                self.push_link_item(link, 1 - side, Item::Data { link, bytes });
            }
        }
    }

    pub(super) fn acknowledged(&mut self, link: LinkId, side: usize, bytes: usize) {
        let Some(connection) = self.connections.get_mut(&link) else { return };
        connection.ends[side].acknowledged(self.now, bytes);
        self.send_waiting(link, side);
    }

    pub(super) fn retransmit(&mut self, link: LinkId, side: usize) {
        if !self.connections.contains_key(&link) {
            return;
        }
        let is_reachable = self.is_reachable(self.machine_of(link, side), self.machine_of(link, 1 - side));
        let Some(connection) = self.connections.get_mut(&link) else { return };
        let end = &mut connection.ends[side];
        if !end.is_usable() {
            return;
        }
        if !is_reachable {
            end.retransmission_delay_us = (end.retransmission_delay_us * 2).max(RETRANSMISSION_DELAY_US);
            let delay_us = end.retransmission_delay_us;
            return self.schedule(delay_us, Event::Retransmit { link, side });
        }
        let lost = std::mem::take(&mut end.lost);
        end.resent.extend(lost);
        self.send_waiting(link, side);
    }

    pub(super) fn check_progress(&mut self, link: LinkId, side: usize) {
        let now = self.now;
        let Some(connection) = self.connections.get_mut(&link) else { return };
        let end = &mut connection.ends[side];
        if !end.is_usable() || end.unacknowledged_bytes == 0 {
            end.checks_progress = false;
            return;
        }
        let due = end.progress_at + USER_TIMEOUT_US;
        match now >= due {
            true => self.break_end(link, side),
            false => self.schedule_at(due, Event::CheckProgress { link, side }),
        }
    }

    /// A connection fails at one end.
    pub(super) fn break_end(&mut self, link: LinkId, side: usize) {
        let Some(connection) = self.connections.get_mut(&link) else { return };
        let end = &mut connection.ends[side];
        if end.is_usable() {
            end.state = EndState::Broken;
            self.push_link_item(link, side, Item::Failed { link });
            self.send_close(link, side);
        }
    }

    /// Closes a connection at one end.
    pub(super) fn close(&mut self, link: LinkId, side: usize) {
        let Some(connection) = self.connections.get_mut(&link) else { return };
        let end = &mut connection.ends[side];
        if end.state != EndState::Closed {
            end.state = EndState::Closed;
            self.send_close(link, side);
            self.forget_if_closed(link);
        }
    }

    pub(super) fn send_close(&mut self, link: LinkId, side: usize) {
        let machine = &self.machines[self.machine_of(link, side)];
        if machine.has_power {
            let at = self.now.max(machine.sends_until) + self.connections[&link].latency_us;
            self.schedule_at(at, Event::Arrive { link, side, packet: Packet::Close });
        }
    }

    pub(super) fn forget_if_closed(&mut self, link: LinkId) {
        let Some(connection) = self.connections.get(&link) else { return };
        if connection.ends.iter().all(|end| end.state == EndState::Closed) {
            self.connections.remove(&link);
        }
    }
}
