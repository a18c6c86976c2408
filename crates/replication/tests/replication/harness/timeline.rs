//! Timelines drawn as text: one row a moment, one column a machine.
//!
//! ```text
//! time | P       | B      | C
//!  100 | order=1 |        |
//!  200 | kill    |        |
//! 2500 |         |        | acked=1
//! ```
//!
//! Times are milliseconds from the begin of the timeline. A cell holds deeds (`start kill power wipe stop freeze
//! wake hang slow full good cut join cut-in cut-out cut:B join:B order=N`) and claims (`leads follows member out witness
//! no-witness
//! no-lease deposed names:B names-none acked=N open=N refused=N`), which must hold at that time. `order=N` proposes an order here, `again=N` sends
//! the same order once more, and `acked=N`, `refused=N` and `open=N` say what became of it. `ask` asks what is in
//! force. A column `*` stands for the machine that leads at the time.

use super::disk::DiskMode;
use super::world::World;
use quillpulley_replication::Role;
use std::collections::BTreeMap;

/// The column of whoever leads.
const LEADER: &str = "*";

/// Plays a timeline. `names` are the machines that its columns stand for.
pub fn play(world: &mut World, names: &[(&str, usize)], text: &str) {
    let mut lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
    let header: Vec<&str> = cells(lines.next().expect("a header"));
    let machine_of = |name: &str| {
        let found = names.iter().find(|(known, _)| *known == name);
        found.unwrap_or_else(|| panic!("no machine is called {name}")).1
    };
    let machines: Vec<Option<usize>> =
        header[1..].iter().map(|name| (*name != LEADER).then(|| machine_of(name))).collect();
    let begin = world.now;
    let mut player = Player { world, machine_of: &machine_of, orders: BTreeMap::new() };
    for line in lines {
        let row = cells(line);
        let time: u64 = row[0].parse().expect("a time in milliseconds");
        player.world.run_for((begin + time).saturating_sub(player.world.now));
        for (machine, cell) in machines.iter().zip(&row[1..]) {
            for word in cell.split_whitespace() {
                let machine = machine.or_else(|| player.world.leader());
                let machine =
                    machine.unwrap_or_else(|| panic!("no one leads in `{line}`\n{}", player.trace()));
                player.play(machine, word, line);
            }
        }
    }
}

fn cells(line: &str) -> Vec<&str> {
    line.split('|').map(str::trim).collect()
}

struct Player<'a> {
    world: &'a mut World,
    machine_of: &'a dyn Fn(&str) -> usize,
    /// The numbers that the world has given to the timeline's orders.
    orders: BTreeMap<u64, u64>,
}

impl Player<'_> {
    fn play(&mut self, machine: usize, word: &str, line: &str) {
        let (verb, argument) = word.split_once(['=', ':']).unwrap_or((word, ""));
        if !self.act(machine, verb, argument) {
            let holds = self.holds(machine, verb, argument);
            assert!(holds, "`{word}` does not hold in `{line}`\n{}", self.trace());
        }
    }

    fn trace(&self) -> String {
        self.world.trace.join("\n")
    }

    /// Does a deed; says whether the word is one.
    fn act(&mut self, machine: usize, verb: &str, argument: &str) -> bool {
        let world = &mut *self.world;
        match verb {
            "start" => world.start(machine),
            "kill" => world.kill(machine, false),
            "power" => world.kill(machine, true),
            "wipe" => world.wipe(machine),
            "stop" => world.stop(machine),
            "freeze" => world.freeze(machine),
            "wake" => world.wake(machine),
            "hang" => world.set_disk(machine, DiskMode::Hangs),
            "slow" => world.set_disk(machine, DiskMode::Slow),
            "full" => world.set_disk(machine, DiskMode::Full),
            "good" => world.set_disk(machine, DiskMode::Good),
            "cut" | "cut-in" | "cut-out" | "join" => {
                let others: Vec<usize> = match argument {
                    "" => (0..world.machines.len()).filter(|other| *other != machine).collect(),
                    name => vec![(self.machine_of)(name)],
                };
                self.change_links(machine, verb, &others);
            }
            "order" => {
                let number = world.propose(machine);
                self.orders.insert(argument.parse().expect("a number"), number);
            }
            "again" => {
                let number = self.orders[&argument.parse().expect("a number")];
                world.propose_again(machine, number);
            }
            "ask" => world.ask(machine),
            _ => return false,
        }
        true
    }

    fn change_links(&mut self, machine: usize, verb: &str, others: &[usize]) {
        let network = &mut self.world.network;
        for other in others {
            if matches!(verb, "cut" | "cut-in") {
                network.cut(*other, machine);
            }
            if matches!(verb, "cut" | "cut-out") {
                network.cut(machine, *other);
            }
            if verb == "join" {
                network.join(machine, *other);
                network.join(*other, machine);
            }
        }
        self.world.notice_cuts();
    }

    fn holds(&self, machine: usize, verb: &str, argument: &str) -> bool {
        let world = &*self.world;
        let acknowledged = || world.is_acknowledged(self.orders[&argument.parse().expect("a number")]);
        match verb {
            "leads" => world.leader() == Some(machine),
            "follows" => {
                matches!(world.role(machine), Some(Role::Follower { primary: Some(primary) })
                    if Some(primary) == world.leader().map(|leader| world.machines[leader].id))
            }
            "deposed" => !matches!(world.role(machine), Some(Role::Primary { .. })),
            "names" => world.named(machine) == Some((self.machine_of)(argument)),
            "names-none" => world.named(machine).is_none(),
            "no-lease" => !matches!(world.role(machine), Some(Role::Primary { holds_lease: true, .. })),
            "member" => world.members().contains(&machine),
            "out" => !world.members().contains(&machine),
            "witness" => world.witnesses().contains(&machine),
            "no-witness" => !world.witnesses().contains(&machine),
            "acked" => acknowledged(),
            "refused" => world.checker.is_refused(self.orders[&argument.parse().expect("a number")]),
            "open" => !acknowledged(),
            _ => panic!("`{verb}` is neither a deed nor a claim"),
        }
    }
}
