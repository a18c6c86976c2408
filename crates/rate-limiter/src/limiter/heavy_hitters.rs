//! Tenants whose demand is far beyond their quota, as the limiters list them for each other on the counter.
//!
//! If hundreds of limiters share a tenant, most of its requests meet a limiter that has no totals of it, and whose
//! bucket holds one request all the same: each admits one, and all together far more than the quota. The few tenants
//! that cause most of that are listed by the first limiter that learns it from its totals.
//!
//! The list is a row of numbers on the counter, read off the request path. Every limiter reads each entry once, and
//! then polls the end of the list.

use super::counter_sync::CountedDemand;
use super::{hash, Action, Settings};
use crate::interface::Plan;
use std::collections::BTreeMap;

/// Seconds for which a list is valid. The next one begins empty. Shorter, and all limiters would read it again more
/// often. It changes in the middle of a counter window, where totals are the best to decide what to list.
const LIST_TIME: f64 = 20.0;
/// The previous list stays valid until this many seconds into the next, by when what still applies is listed again.
const OVERLAP: f64 = 5.0;
/// The most entries of a list. Each costs one call of every limiter.
const MAX_ENTRIES: u32 = 60;
/// Seconds between two polls of the end of the list.
const POLL_INTERVAL: f64 = 2.0;
/// Seconds between two entries on the way there, if the counter bears a call for every request; otherwise longer by as
/// much as it bears less.
const READ_INTERVAL: f64 = 0.05;
/// Reads after which an invalid entry is skipped: two limiters wrote it at once, or a call that was to undo it is lost.
const MAX_INVALID_READS: u32 = 4;
/// A tenant is listed if its demand exceeds its burst by this multiple of its quota ...
const MIN_EXCESS: f64 = 1.2;
/// ... and its excess costs at least this fraction of what the costliest plan's quota is worth.
const MIN_EXCESS_COST: f64 = 0.2;
/// A listed tenant is listed again if its demand has grown by this factor.
const RELIST_FACTOR: f64 = 2.0;
/// The part of a tenant's quota that the listed fraction allows: limiters that know the tenant, or have not read the
/// entry yet, admit requests too.
pub(super) const LISTED_FRACTION: f64 = 0.7;

/// An entry is a number that the counter holds exactly (seven digits). It consists of a part of the tenant's hash, a
/// level of its admitted fraction, and a check digit, so that the sum of two entries is not an entry.
mod entry {
    use super::hash;

    const TENANTS: u64 = 40_009;
    const LEVELS: u64 = 16;
    /// The ratio of the fractions of two neighbouring levels.
    const LEVEL_RATIO: f64 = 0.75;
    const CHECK: u64 = 13;

    /// What an entry says.
    #[derive(Clone, Copy, Debug, PartialEq)]
    pub struct Entry {
        /// The tenant, by a part of its hash.
        pub tenant: u64,
        /// The fraction of its requests to be admitted.
        pub admitted_fraction: f64,
    }

    /// Returns the part of the hash of a tenant that entries hold.
    pub fn tenant_of(key: &str) -> u64 {
        hash(key) % TENANTS
    }

    fn check_digit(body: u64) -> u64 {
        (body / CHECK + body) % CHECK
    }

    /// Encodes the entry of a tenant.
    pub fn encode(key: &str, admitted_fraction: f64) -> u64 {
        let level =
            (admitted_fraction.ln() / LEVEL_RATIO.ln()).round().clamp(0.0, LEVELS as f64 - 1.0) as u64;
        let body = tenant_of(key) * LEVELS + level;
        body * CHECK + check_digit(body) + 1
    }

    /// Decodes a number, unless it is not an entry.
    pub fn decode(number: f64) -> Option<Entry> {
        let number = (number >= 1.0 && number.fract() == 0.0).then(|| number as u64 - 1)?;
        let (body, check) = (number / CHECK, number % CHECK);
        let is_valid = check == check_digit(body) && body / LEVELS < TENANTS;
        let admitted_fraction = || LEVEL_RATIO.powi((body % LEVELS) as i32);
        is_valid.then(|| Entry { tenant: body / LEVELS, admitted_fraction: admitted_fraction() })
    }
}
use entry::Entry;

/// A call to the counter that has no response yet.
struct CounterRead {
    name: String,
    amount: f64,
}

/// An entry that this limiter is to add.
#[derive(Clone, Copy)]
struct Candidate {
    entry: u64,
    excess_cost: f64,
}

/// The list, as far as this limiter has read it.
pub(super) struct HeavyHitters {
    /// What the costliest plan's quota is worth beyond the quota. If that is nothing, no tenant is listed.
    max_quota_cost: f64,
    list: i64,
    list_began: f64,
    /// The first entry that is not read yet, and the reads of it that were invalid.
    next_entry: u32,
    invalid_reads: u32,
    next_read: f64,
    open_read: Option<CounterRead>,
    /// The admitted fractions of tenants in this list, and in the previous one.
    fractions: BTreeMap<u64, f64>,
    previous_fractions: BTreeMap<u64, f64>,
    candidate: Option<Candidate>,
}

fn excess_cost(plan: &Plan) -> f64 {
    plan.price * plan.excess_cost
}

impl HeavyHitters {
    pub(super) fn new(settings: &Settings) -> Self {
        let limiters = f64::from(settings.limiter_count);
        let is_scattered = |plan: &&Plan| plan.rate > 0.0 && plan.burst < limiters;
        let scattered = settings.plans.iter().filter(is_scattered);
        let max_quota_cost = scattered.map(|plan| plan.rate * excess_cost(plan)).fold(0.0, f64::max);
        HeavyHitters {
            max_quota_cost: if settings.has_counter { max_quota_cost } else { 0.0 },
            list: i64::MIN,
            list_began: f64::MIN,
            next_entry: 0,
            invalid_reads: 0,
            next_read: f64::MIN,
            open_read: None,
            fractions: BTreeMap::new(),
            previous_fractions: BTreeMap::new(),
            candidate: None,
        }
    }

    /// Returns the fraction of a tenant's requests to be admitted, if it is listed.
    pub(super) fn admitted_fraction(&self, key: &str, now: f64) -> Option<f64> {
        let tenant = entry::tenant_of(key);
        let age = now - self.list_began;
        let previous = self.previous_fractions.get(&tenant).filter(|_| age < OVERLAP);
        let current = self.fractions.get(&tenant).filter(|_| age < LIST_TIME + OVERLAP);
        current.or(previous).copied()
    }

    /// Records the demand of a tenant, as its totals tell it.
    pub(super) fn record_demand(&mut self, key: &str, plan: &Plan, demand: &CountedDemand) {
        let CountedDemand { units, seconds } = *demand;
        let cost = (units / seconds - plan.rate) * excess_cost(plan);
        let admitted_fraction = LISTED_FRACTION * plan.rate * seconds / units;
        let listed_fraction = self.fractions.get(&entry::tenant_of(key));
        let is_over_quota = units > plan.burst + MIN_EXCESS * plan.rate * seconds;
        let is_new = listed_fraction.is_none_or(|listed| *listed >= RELIST_FACTOR * admitted_fraction);
        let min_cost = MIN_EXCESS_COST * self.max_quota_cost;
        let cost_to_beat = self.candidate.map_or(min_cost, |candidate| candidate.excess_cost);
        if self.max_quota_cost > 0.0 && is_over_quota && is_new && cost > cost_to_beat {
            self.candidate =
                Some(Candidate { entry: entry::encode(key, admitted_fraction), excess_cost: cost });
        }
    }

    /// Reads the next entry of the list if it is due. To be called once a tick.
    pub(super) fn tick(&mut self, now: f64, rng: &mut fastrand::Rng) -> Option<Action> {
        let list = (now / LIST_TIME + 0.5).floor() as i64;
        if self.max_quota_cost > 0.0 && list != self.list {
            self.begin_list(list, now + rng.f64() * POLL_INTERVAL);
        }
        let must_wait = self.max_quota_cost <= 0.0
            || self.open_read.is_some()
            || self.next_entry >= MAX_ENTRIES
            || now < self.next_read;
        (!must_wait).then(|| self.add_to_next_entry(0.0))
    }

    fn begin_list(&mut self, list: i64, next_read: f64) {
        self.previous_fractions = std::mem::take(&mut self.fractions);
        self.list = list;
        self.list_began = (list as f64 - 0.5) * LIST_TIME;
        self.next_entry = 0;
        self.invalid_reads = 0;
        self.next_read = next_read;
        self.open_read = None;
        self.candidate = None;
    }

    /// Adds to the counter of the next entry, and reads its total.
    fn add_to_next_entry(&mut self, amount: f64) -> Action {
        let name = format!("heavy.{}.{}", self.list, self.next_entry);
        self.open_read = Some(CounterRead { name: name.clone(), amount });
        Action::AddToCounter { name, amount, ttl: LIST_TIME * 2.0 }
    }

    /// Handles a response of the counter, with the total if there is one, and returns a request that is due at once.
    /// `sampling_rate` is the fraction of requests for which a limiter may report to the counter.
    pub(super) fn counter_response(
        &mut self,
        name: &str,
        total: Option<f64>,
        now: f64,
        sampling_rate: f64,
        rng: &mut fastrand::Rng,
    ) -> Option<Action> {
        let CounterRead { amount, .. } = self.open_read.take_if(|read| read.name == name)?;
        self.next_read = now + READ_INTERVAL / sampling_rate;
        let Some(total) = total else {
            self.next_read = now + POLL_INTERVAL;
            return None;
        };
        if total == 0.0 {
            // The end of the list. An undone addition leaves zero too.
            self.next_read = now + POLL_INTERVAL * (0.5 + rng.f64());
            let candidate = self.candidate.filter(|_| amount == 0.0);
            return candidate.map(|candidate| self.add_to_next_entry(candidate.entry as f64));
        }
        if amount > 0.0 && total != amount {
            // Another limiter was first: undo the addition.
            return Some(self.add_to_next_entry(-amount));
        }
        match entry::decode(total) {
            Some(entry) => self.add(entry),
            None if self.invalid_reads < MAX_INVALID_READS => {
                self.invalid_reads += 1;
                return None;
            }
            None => {}
        }
        self.next_entry += 1;
        self.invalid_reads = 0;
        None
    }

    /// Adds an entry that was read. This limiter does not list the same tenant again.
    fn add(&mut self, entry: Entry) {
        self.fractions.insert(entry.tenant, entry.admitted_fraction);
        let is_other = |candidate: &Candidate| {
            entry::decode(candidate.entry as f64).is_some_and(|own| own.tenant != entry.tenant)
        };
        self.candidate = self.candidate.filter(is_other);
    }
}
