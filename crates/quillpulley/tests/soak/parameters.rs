//! What a run plays: from the environment, or a short run.

use std::env;
use std::ops::RangeInclusive;
use std::time::Duration;

/// The parameters of a run.
pub struct Parameters {
    /// The seeds of the days to play.
    pub seeds: RangeInclusive<u64>,
    /// The number of days to play at once, each with a system of five processes.
    pub jobs: usize,
    /// The number of clients of a day.
    pub clients: usize,
    /// How long planned work begins.
    pub time: Duration,
}

impl Parameters {
    /// Reads the parameters: `SOAK_SEEDS` (`FIRST-LAST`), `SOAK_JOBS`, `SOAK_CLIENTS`, `SOAK_S`
    /// (seconds).
    pub fn from_environment() -> Parameters {
        let seeds = env::var("SOAK_SEEDS").unwrap_or_else(|_| "1-1".to_string());
        let (first, last) = seeds.split_once('-').expect("SOAK_SEEDS is FIRST-LAST");
        let bound = |text: &str| text.parse().expect("SOAK_SEEDS has numbers");
        Parameters {
            seeds: bound(first)..=bound(last),
            jobs: number("SOAK_JOBS", 1) as usize,
            clients: number("SOAK_CLIENTS", 12) as usize,
            time: Duration::from_secs(number("SOAK_S", 20)),
        }
    }
}

fn number(name: &str, default: u64) -> u64 {
    env::var(name).map_or(default, |text| text.parse().expect("a number"))
}
