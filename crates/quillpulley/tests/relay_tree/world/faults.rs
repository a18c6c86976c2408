//! The commands of a timeline, and the faults that they begin and end.

use super::{Event, Item, World};
use crate::timeline::{Command, FaultKind, Selector};
use crate::topology::{ranked_agents, ROOT};

/// Faults.
impl World {
    pub(super) fn command(&mut self, command: Command) {
        match command {
            Command::Configure { every_ms } => self.configure(every_ms * 1_000),
            Command::Churn { servers } => self.schedule(0, Event::Churn { servers }),
            Command::Fault { kind, machines, for_ms } => {
                let machines = self.select(&machines);
                self.begin_fault(kind, &machines);
                self.schedule(for_ms * 1_000, Event::EndFault { kind, machines });
            }
            Command::Part { machines, from, for_ms } => {
                let pairs = self.pairs(&machines, &from);
                self.parted.extend(&pairs);
                self.schedule(for_ms * 1_000, Event::EndPart { pairs });
            }
            Command::Restart { machines } => {
                for machine in self.select(&machines) {
                    self.restart(machine);
                }
            }
            Command::Roll { machines, every_ms } => {
                for (number, machine) in self.select(&machines).into_iter().enumerate() {
                    let name = self.places[machine].name.clone();
                    let command = Command::Restart { machines: vec![Selector::Machine(name)] };
                    self.schedule(number as u64 * every_ms * 1_000, Event::Command(command));
                }
            }
        }
    }

    /// Returns the selected machines, except for the root and those that have trouble now.
    pub(super) fn select(&mut self, selectors: &[Selector]) -> Vec<usize> {
        let mut machines: Vec<usize> =
            selectors.iter().flat_map(|selector| self.matching(selector)).collect();
        machines.retain(|machine| *machine != ROOT);
        machines.sort_unstable();
        machines.dedup();
        assert!(!machines.is_empty(), "no machine matches {selectors:?}");
        machines.retain(|machine| !self.measurement.is_troubled(*machine));
        machines
    }

    /// Returns the pairs of machines of two groups, in both directions.
    fn pairs(&mut self, machines: &[Selector], others: &[Selector]) -> Vec<(usize, usize)> {
        let machines: Vec<usize> = machines.iter().flat_map(|selector| self.matching(selector)).collect();
        let others: Vec<usize> = others.iter().flat_map(|selector| self.matching(selector)).collect();
        let pairs = machines.iter().flat_map(|one| others.iter().map(move |other| (*one, *other)));
        pairs.flat_map(|(one, other)| [(one, other), (other, one)]).collect()
    }

    pub(super) fn matching(&mut self, selector: &Selector) -> Vec<usize> {
        let all = 0..self.places.len();
        let places = &self.places;
        match selector {
            Selector::Ranks { zone, first, last } => {
                let ranked = ranked_agents(places, zone);
                ranked[first - 1..*last].to_vec()
            }
            Selector::AgentsOf(zone) => ranked_agents(places, zone),
            Selector::Zone(zone) => all.filter(|machine| places[*machine].zone == zone).collect(),
            Selector::Region(region) => all.filter(|machine| places[*machine].region == region).collect(),
            Selector::Control(number) => vec![number - 1],
            Selector::Machine(name) => all.filter(|machine| places[*machine].name == *name).collect(),
            Selector::PercentOfAgents(percent) => {
                let agents: Vec<usize> = all.filter(|machine| !places[*machine].is_control_node).collect();
                let count = (agents.len() * percent).div_ceil(100);
                self.random.choose_multiple(agents, count)
            }
        }
    }

    pub(super) fn begin_fault(&mut self, kind: FaultKind, machines: &[usize]) {
        let network = self.next_network;
        self.next_network += 1;
        for machine in machines {
            self.measurement.trouble_began(*machine);
            self.log(*machine, format!("{kind:?} begins"));
            match kind {
                FaultKind::Kill => self.end_processes(*machine),
                FaultKind::Power => {
                    self.machines[*machine].has_power = false;
                    self.end_processes(*machine);
                }
                FaultKind::Freeze => self.set_frozen(*machine, true),
                FaultKind::Cut => self.machines[*machine].network = network,
            }
        }
    }

    pub(super) fn end_fault(&mut self, kind: FaultKind, machines: &[usize]) {
        for machine in machines {
            self.measurement.trouble_ended(self.now, *machine);
            self.log(*machine, format!("{kind:?} ends"));
            match kind {
                FaultKind::Kill => self.start_machine(*machine),
                FaultKind::Power => {
                    self.machines[*machine].has_power = true;
                    self.start_machine(*machine);
                }
                FaultKind::Freeze => self.set_frozen(*machine, false),
                FaultKind::Cut => self.machines[*machine].network = 0,
            }
        }
    }

    pub(super) fn end_processes(&mut self, machine: usize) {
        self.machines[machine].restarts = false;
        for process in self.machines[machine].processes.clone() {
            self.end_process(process);
        }
    }

    pub(super) fn set_frozen(&mut self, machine: usize, is_frozen: bool) {
        for process in self.machines[machine].processes.clone() {
            self.processes[process].is_frozen = is_frozen;
            self.schedule_run(process, self.now);
        }
    }

    pub(super) fn restart(&mut self, machine: usize) {
        self.measurement.trouble_began(machine);
        self.log(machine, "is restarted");
        self.machines[machine].restarts = true;
        for process in self.machines[machine].processes.clone() {
            self.push_item(process, Item::Shutdown);
        }
    }
}
