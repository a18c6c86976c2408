//! Links with a high latency: replies arrive after later heartbeats were sent.

use super::{StableCluster, SEEDS};
use crate::harness::{NetworkOptions, SimulationOptions};

/// A round trip takes longer than the interval between two heartbeats.
const SLOW_LINKS: NetworkOptions =
    NetworkOptions { min_delay_ms: 80, max_delay_ms: 110, lost: 0, duplicated: 0, delayed: 0, late: 0 };

fn with_slow_links(text: &str) {
    for seed in 0..SEEDS {
        let options = SimulationOptions { seed, network: SLOW_LINKS, ..SimulationOptions::default() };
        StableCluster::with(options, ["P", "B", "C"]).run_timeline(text);
    }
}

#[test]
fn the_lease_is_kept_though_replies_arrive_after_later_heartbeats() {
    with_slow_links(
        "time | P               | B       | C       | *
            0 | leads propose=1 | hints:P | hints:P |
          900 | leads acked=1   | hints:P | hints:P |
         1300 | leads           | hints:P | hints:P |
         1900 | leads propose=2 | hints:P | hints:P |
         2800 | leads acked=2   | hints:P | hints:P |
         9000 | leads           | hints:P | hints:P |",
    );
}

#[test]
fn a_killed_primary_is_replaced_over_slow_links() {
    with_slow_links(
        "time | P    | B | C | *
            0 | kill |   |   |
         2800 |      |   |   | propose=1
         4000 |      |   |   | acked=1",
    );
}
