//! What operators do: send orders, also again and two on one base, and ask what is in force.

use quillpulley_replication::{Event, Role};

use super::ledger::Order;
use super::world::{Happening, World};

/// Orders are longer than they have to be by up to so many bytes.
const PADDING: usize = 300;
/// How long it takes at most from a question to its answer, if the process does not stand still in between.
const ANSWER_MS: u64 = 5;

impl World {
    /// Sends a new order to a machine, built on its state; returns the order's number.
    pub fn propose(&mut self, machine: usize) -> u64 {
        let base = self.machines[machine].replica.as_ref().map_or(0, |replica| replica.state().version());
        let number = self.orders.len() as u64 + 1;
        let order = Order { number, base };
        self.orders.push(order);
        self.send_order(machine, order);
        number
    }

    /// Sends an order again, with the same base, whatever became of it.
    pub fn propose_again(&mut self, machine: usize, number: u64) {
        if let Some(order) = self.orders.get(number as usize - 1).copied() {
            self.send_order(machine, order);
        }
    }

    /// How many orders there have been.
    pub fn order_count(&self) -> u64 {
        self.orders.len() as u64
    }

    fn send_order(&mut self, machine: usize, order: Order) {
        self.messages.push(order);
        let message = self.messages.len() as u64;
        let mut payload = order.payload(message);
        payload.resize(payload.len() + self.random.usize(0..=PADDING), 0);
        self.proposed.push((message, machine, self.machines[machine].life));
        self.note(machine, &format!("gets order {} on {}", order.number, order.base));
        self.handle(machine, Event::Propose { proposal: message, payload });
    }

    /// The number of the order that a message has.
    pub(super) fn order_in(&self, message: u64) -> u64 {
        self.messages[message as usize - 1].number
    }

    /// Asks a machine what is in force. The answer comes a little later.
    pub fn ask(&mut self, machine: usize) {
        let delay = self.random.u64(0..=ANSWER_MS);
        let life = self.machines[machine].life;
        self.note(machine, "is asked");
        self.plan(delay, Happening::Answer { machine, life });
    }

    pub(super) fn answer_due(&mut self, machine: usize, life: u64) {
        if !self.lives(machine, life) {
            return;
        }
        if self.machines[machine].frozen {
            self.machines[machine].held_questions += 1;
        } else {
            self.answer(machine);
        }
    }

    /// Answers what is in force, if the replica says that it may.
    pub(super) fn answer(&mut self, machine: usize) {
        let now = self.local(machine);
        let has_lease = matches!(self.role(machine), Some(Role::Primary { holds_lease: true, .. }));
        let Some(replica) = &self.machines[machine].replica else { return };
        if replica.can_answer(now) {
            self.answers += 1;
            self.checker.check_answer(replica.state(), has_lease);
        }
    }
}
