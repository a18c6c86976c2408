//! Tests of random histories of a few keys that lie in one range, on nodes that change their parent often. A node whose
//! history lacks a change sends a child too few keys, and the child's store differs from that of the root.

mod network;

use network::Network;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use quillpulley_state_sync::{Event, Options};
use std::time::Duration;

/// Number of nodes that may become the root. The other nodes are relays.
const ROOTS: usize = 2;
const NODES: usize = 5;
const KEYS: usize = 4;
/// Number of values of a key, one of which means that the key is absent.
const VALUES: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    Publish { root: usize, key: usize, value: usize },
    BecomeRoot { node: usize },
    LeaveRoot { node: usize },
    Connect { child: usize, parent: usize },
    Disconnect { child: usize },
    DropNextUpdate { child: usize },
    DeliverAll,
}

impl Arbitrary for Step {
    fn arbitrary(gen: &mut Gen) -> Self {
        let mut below = |bound: usize| usize::arbitrary(gen) % bound;
        let (kind, root, node, other) = (below(20), below(ROOTS), below(NODES), below(NODES));
        match kind {
            0..=7 => Step::Publish { root, key: below(KEYS), value: below(VALUES) },
            8 => Step::BecomeRoot { node: root },
            9 => Step::LeaveRoot { node: root },
            10..=13 => Step::Connect { child: node, parent: other },
            14..=15 => Step::Disconnect { child: node },
            16 => Step::DropNextUpdate { child: node },
            _ => Step::DeliverAll,
        }
    }
}

/// Returns names of keys that lie in the same range.
fn keys_in_one_range() -> Vec<String> {
    let candidates = (0..).map(|number| format!("key-{number}"));
    candidates.filter(|key| range_of(key) == range_of("key-0")).take(KEYS).collect()
}

/// Returns the number of the range in which a key lies: the only one whose digest it changes.
fn range_of(key: &str) -> Option<usize> {
    let mut network = Network::new([Options::new("root")]);
    network.handle(0, Event::BecomeRoot { epoch: 1 });
    network.publish(0, vec![(key.to_string(), Some(vec![1]))]);
    network.nodes[0].store().digests().iter().position(|digest| *digest != 0)
}

struct Simulation {
    network: Network,
    keys: Vec<String>,
    epoch: u64,
}

impl Simulation {
    fn new(keys: Vec<String>) -> Self {
        let options = (0..NODES).map(|node| Options::new(&format!("n{node}")));
        let mut simulation = Simulation { network: Network::new(options), keys, epoch: 0 };
        simulation.become_root(0);
        simulation.network.handle(0, Event::Heartbeat);
        simulation
    }

    /// Applies a step. The network checks after each event that every store equals that of the root at its revision.
    fn apply_step(&mut self, step: &Step) {
        let network = &mut self.network;
        network.now += Duration::from_millis(100);
        match *step {
            Step::Publish { root, key, value } => {
                let value = (value > 0).then(|| vec![value as u8]);
                network.publish(root, vec![(self.keys[key].clone(), value)]);
            }
            Step::BecomeRoot { node } => self.become_root(node),
            Step::LeaveRoot { node } => network.handle(node, Event::LeaveRoot),
            Step::Connect { child, parent } if child != parent && !network.nodes[child].is_root() => {
                network.connect(child, parent);
            }
            Step::Connect { .. } => {}
            Step::Disconnect { child } => network.disconnect(child),
            Step::DropNextUpdate { child } => network.drop_next_update(child),
            Step::DeliverAll => network.deliver_all(),
        }
    }

    fn become_root(&mut self, node: usize) {
        self.epoch += 1;
        self.network.disconnect(node);
        self.network.handle(node, Event::BecomeRoot { epoch: self.epoch });
    }
}

/// Guards against children that end with a wrong state at the right revision, because the node that they subscribe to
/// sends them only a part of the changes that they missed.
#[test]
fn a_child_is_sent_every_change_that_it_missed() {
    fn holds(steps: Vec<Step>) -> bool {
        thread_local!(static KEYS_IN_ONE_RANGE: Vec<String> = keys_in_one_range());
        let mut simulation = Simulation::new(KEYS_IN_ONE_RANGE.with(Clone::clone));
        steps.iter().for_each(|step| simulation.apply_step(step));
        simulation.network.deliver_all();
        true
    }
    QuickCheck::new().rng(Gen::new(300)).tests(1_000).quickcheck(holds as fn(Vec<Step>) -> bool);
}
