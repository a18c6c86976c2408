//! Test scenarios written as text tables: one row per point in time, one column per machine.
//!
//! ```text
//! time | P       | B      | C
//!  100 | propose=1 |        |
//!  200 | kill    |        |
//! 2500 |         |        | acked=1
//! ```
//!
//! Times are in milliseconds since the start of the timeline. A cell holds operations and assertions, which
//! are performed and checked from left to right.
//!
//! | operations | effect |
//! | --- | --- |
//! | `start` `kill` `power-loss` `shutdown` `freeze` `resume` | act on the process of the machine |
//! | `pause` | freezes the process and stops the clock of the machine, until `resume` |
//! | `wipe` `hang` `slow` `full` `repair` | act on its disk |
//! | `partition` `partition-in` `partition-out` `partition:B` `heal` `heal:B` | act on all its links, or on the link to one machine |
//! | `propose=N` `resend=N` | proposes command N, or sends the same command again |
//! | `read` | reads the replicated state |
//!
//! | assertions | subject |
//! | --- | --- |
//! | `leads` `follows` `deposed` `no-lease` | the role of the machine |
//! | `member` `no-member` `witness` `no-witness` | its membership in the leader's view |
//! | `hints:B` `no-hint` | the primary that it names to its clients |
//! | `acked=N` `not-acked=N` `rejected=N` | whether command N was acknowledged, was not acknowledged, or was rejected |
//!
//! The column `*` stands for the leader at that time: the primary that holds the lease and is not frozen.

use super::disk::DiskMode;
use super::simulation::Simulation;
use quillpulley_replication::Role;
use std::collections::BTreeMap;

/// The name of the column for the machine that leads.
const LEADER: &str = "*";

/// Runs a timeline. `names` maps the names of columns to machines.
pub fn run_timeline(simulation: &mut Simulation, names: &[(&str, usize)], text: &str) {
    let mut lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
    let header: Vec<&str> = cells(lines.next().expect("the timeline has no header"));
    let machine_of = |name: &str| {
        let found = names.iter().find(|(known, _)| *known == name);
        found.unwrap_or_else(|| panic!("no machine is named {name}")).1
    };
    let machines: Vec<Option<usize>> =
        header[1..].iter().map(|name| (*name != LEADER).then(|| machine_of(name))).collect();
    let started_at = simulation.now;
    let mut runner = TimelineRunner { simulation, machine_of: &machine_of, commands: BTreeMap::new() };
    for line in lines {
        let row = cells(line);
        let time: u64 = row[0].parse().expect("the time of a row is not a number of milliseconds");
        runner.simulation.run_for((started_at + time).saturating_sub(runner.simulation.now));
        for (machine, cell) in machines.iter().zip(&row[1..]) {
            for word in cell.split_whitespace() {
                let machine = machine.or_else(|| runner.simulation.leader());
                let machine =
                    machine.unwrap_or_else(|| panic!("no machine leads in `{line}`\n{}", runner.trace()));
                runner.run_entry(machine, word, line);
            }
        }
    }
}

fn cells(line: &str) -> Vec<&str> {
    line.split('|').map(str::trim).collect()
}

struct TimelineRunner<'a> {
    simulation: &'a mut Simulation,
    machine_of: &'a dyn Fn(&str) -> usize,
    /// The number that the simulation has given to each command of the timeline.
    commands: BTreeMap<u64, u64>,
}

impl TimelineRunner<'_> {
    fn run_entry(&mut self, machine: usize, word: &str, line: &str) {
        let (verb, argument) = word.split_once(['=', ':']).unwrap_or((word, ""));
        if !self.perform(machine, verb, argument) {
            let holds = self.holds(machine, verb, argument);
            assert!(holds, "assertion `{word}` fails in `{line}`\n{}", self.trace());
        }
    }

    fn trace(&self) -> String {
        self.simulation.trace.join("\n")
    }

    /// Performs an operation. Returns `false` if the verb is not an operation.
    fn perform(&mut self, machine: usize, verb: &str, argument: &str) -> bool {
        let simulation = &mut *self.simulation;
        match verb {
            "start" => simulation.start(machine),
            "kill" => simulation.kill(machine, false),
            "power-loss" => simulation.kill(machine, true),
            "wipe" => simulation.wipe(machine),
            "shutdown" => simulation.shut_down(machine),
            "freeze" => simulation.freeze(machine),
            "pause" => simulation.pause(machine),
            "resume" => simulation.resume(machine),
            "hang" => simulation.set_disk(machine, DiskMode::Hangs),
            "slow" => simulation.set_disk(machine, DiskMode::Slow),
            "full" => simulation.set_disk(machine, DiskMode::Full),
            "repair" => simulation.set_disk(machine, DiskMode::Healthy),
            "partition" | "partition-in" | "partition-out" | "heal" => {
                let others: Vec<usize> = match argument {
                    "" => (0..simulation.machines.len()).filter(|other| *other != machine).collect(),
                    name => vec![(self.machine_of)(name)],
                };
                self.change_links(machine, verb, &others);
            }
            "propose" => {
                let number = simulation.propose(machine);
                self.commands.insert(argument.parse().expect("the argument is not a number"), number);
            }
            "resend" => {
                let number = self.commands[&argument.parse().expect("the argument is not a number")];
                simulation.propose_again(machine, number);
            }
            "read" => simulation.read(machine),
            _ => return false,
        }
        true
    }

    fn change_links(&mut self, machine: usize, verb: &str, others: &[usize]) {
        let network = &mut self.simulation.network;
        for other in others {
            if matches!(verb, "partition" | "partition-in") {
                network.partition(*other, machine);
            }
            if matches!(verb, "partition" | "partition-out") {
                network.partition(machine, *other);
            }
            if verb == "heal" {
                network.heal(machine, *other);
                network.heal(*other, machine);
            }
        }
        self.simulation.detect_partitions();
    }

    fn holds(&self, machine: usize, verb: &str, argument: &str) -> bool {
        let simulation = &*self.simulation;
        let acknowledged = || {
            simulation
                .is_acknowledged(self.commands[&argument.parse().expect("the argument is not a number")])
        };
        match verb {
            "leads" => simulation.leader() == Some(machine),
            "follows" => {
                matches!(simulation.role(machine), Some(Role::Follower { primary: Some(primary) })
                    if Some(primary) == simulation.leader().map(|leader| simulation.machines[leader].id))
            }
            "deposed" => !matches!(simulation.role(machine), Some(Role::Primary { .. })),
            "hints" => simulation.hinted_primary(machine) == Some((self.machine_of)(argument)),
            "no-hint" => simulation.hinted_primary(machine).is_none(),
            "no-lease" => !matches!(simulation.role(machine), Some(Role::Primary { holds_lease: true, .. })),
            "member" => simulation.members().contains(&machine),
            "no-member" => !simulation.members().contains(&machine),
            "witness" => simulation.witnesses().contains(&machine),
            "no-witness" => !simulation.witnesses().contains(&machine),
            "acked" => acknowledged(),
            "rejected" => simulation
                .checker
                .is_rejected(self.commands[&argument.parse().expect("the argument is not a number")]),
            "not-acked" => !acknowledged(),
            _ => panic!("`{verb}` is neither an operation nor an assertion"),
        }
    }
}
