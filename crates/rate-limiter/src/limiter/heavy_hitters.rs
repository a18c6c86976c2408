//! Heavy hitters: a list of the tenants whose demand far exceeds their quota, which the limiters share through the
//! counter service.
//!
//! If a tenant's requests are spread over hundreds of limiters, most requests arrive at a limiter that has no totals for
//! the tenant. Since a new bucket always holds one request, each of these limiters admits one, and together they admit
//! far more than the quota. A few tenants cause most of this excess. The first limiter that recognizes such a tenant by
//! its totals adds it to the list.
//!
//! The list is a sequence of counters, which limiters read outside the request path. Each limiter reads every entry
//! once, and then polls the end of the list for new entries.

use super::counter_sync::MeasuredDemand;
use super::{hash, Action, Settings};
use crate::interface::Plan;
use std::collections::BTreeMap;

/// The lifetime of a list in seconds, after which a new list starts empty. With a shorter lifetime, all limiters would
/// have to read the list more often. A new list starts in the middle of a counter window, because totals are then most
/// accurate for deciding which tenants to list.
const LIST_LIFETIME: f64 = 20.0;
/// Seconds for which the previous list stays valid after a new one has started. By then, tenants that still exceed their
/// quota are listed again.
const LIST_OVERLAP: f64 = 5.0;
/// Maximum number of entries of a list. Each entry costs every limiter one call to the counter.
const MAX_ENTRIES: u32 = 60;
/// Seconds between polls of the end of the list.
const POLL_INTERVAL: f64 = 2.0;
/// Minimum seconds between reads of successive entries. It is divided by the sampling rate of counter calls, so that a
/// slow counter gets fewer reads.
const READ_INTERVAL: f64 = 0.05;
/// The number of further reads of an invalid entry before it is skipped. An entry is invalid if two limiters added to it
/// at the same time, or if a call that should have undone an addition was lost.
const MAX_INVALID_READS: u32 = 4;
/// A tenant is listed only if its demand exceeds its burst plus this multiple of its quota.
const MIN_DEMAND_FACTOR: f64 = 1.2;
/// A tenant is listed only if the cost of its excess is more than this fraction of `HeavyHitters::max_quota_cost`.
const MIN_EXCESS_COST: f64 = 0.2;
/// A tenant is listed again if the admitted fraction that its demand requires has shrunk by this factor.
const RELIST_FACTOR: f64 = 2.0;
/// The fraction of a tenant's quota that is granted through its admitted fraction. The rest is left for requests that
/// limiters admit by their own totals or before they have read the entry.
pub(super) const GRANTED_QUOTA_FRACTION: f64 = 0.7;

/// Encoding of list entries as integers that the counter stores exactly (up to seven digits).
///
/// An entry consists of a part of the tenant's hash, the quantized admitted fraction, and a check digit. The check digit
/// makes the sum of two entries invalid.
mod entry {
    use super::hash;

    /// The number of different values to which tenants are hashed in entries.
    const TENANTS: u64 = 40_009;
    /// The number of levels to which admitted fractions are quantized.
    const LEVELS: u64 = 16;
    /// The ratio of the admitted fractions of successive levels.
    const LEVEL_RATIO: f64 = 0.75;
    /// The modulus of the check digit.
    const CHECK_MODULUS: u64 = 13;

    /// A decoded list entry.
    #[derive(Clone, Copy, Debug, PartialEq)]
    pub struct Entry {
        /// The part of the tenant's hash that entries store, see [`tenant_of`].
        pub tenant: u64,
        /// The fraction of the tenant's requests to admit.
        pub admitted_fraction: f64,
    }

    /// Returns the part of a tenant's hash that entries store. Different tenants may share it.
    pub fn tenant_of(key: &str) -> u64 {
        hash(key) % TENANTS
    }

    fn check_digit(body: u64) -> u64 {
        (body / CHECK_MODULUS + body) % CHECK_MODULUS
    }

    /// Encodes the entry of a tenant. The admitted fraction is rounded to a power of [`LEVEL_RATIO`].
    pub fn encode(key: &str, admitted_fraction: f64) -> u64 {
        let level =
            (admitted_fraction.ln() / LEVEL_RATIO.ln()).round().clamp(0.0, LEVELS as f64 - 1.0) as u64;
        let body = tenant_of(key) * LEVELS + level;
        body * CHECK_MODULUS + check_digit(body) + 1
    }

    /// Decodes an entry. Returns `None` if the number is not a valid entry.
    pub fn decode(number: f64) -> Option<Entry> {
        let number = (number >= 1.0 && number.fract() == 0.0).then(|| number as u64 - 1)?;
        let (body, check) = (number / CHECK_MODULUS, number % CHECK_MODULUS);
        let is_valid = check == check_digit(body) && body / LEVELS < TENANTS;
        let admitted_fraction = || LEVEL_RATIO.powi((body % LEVELS) as i32);
        is_valid.then(|| Entry { tenant: body / LEVELS, admitted_fraction: admitted_fraction() })
    }
}
use entry::Entry;

/// A call to the counter that is awaiting its response.
struct PendingCall {
    name: String,
    amount: f64,
}

/// An entry that this limiter adds once it has reached the end of the list.
#[derive(Clone, Copy)]
struct Candidate {
    entry: u64,
    excess_cost: f64,
}

/// The part of the list that this limiter has read, and the entry that it will add.
pub(super) struct HeavyHitters {
    /// The highest cost of one second of a plan's rate, if it were used in excess of the quota, over the plans whose burst
    /// is less than one unit per limiter. If it is 0, no tenant is listed.
    max_quota_cost: f64,
    /// The number of the current list, which increases by one each [`LIST_LIFETIME`].
    list: i64,
    list_started_at: f64,
    /// The index of the first unread entry, and how many reads of it returned an invalid number.
    next_entry: u32,
    invalid_reads: u32,
    next_read: f64,
    pending_call: Option<PendingCall>,
    /// The admitted fractions in the current and the previous list, by [`entry::tenant_of`].
    fractions: BTreeMap<u64, f64>,
    previous_fractions: BTreeMap<u64, f64>,
    candidate: Option<Candidate>,
}

/// Returns the cost of one unit in excess of a plan's quota.
fn excess_cost(plan: &Plan) -> f64 {
    plan.price * plan.excess_cost
}

impl HeavyHitters {
    pub(super) fn new(settings: &Settings) -> Self {
        let limiters = f64::from(settings.limiter_count);
        let has_fractional_burst = |plan: &&Plan| plan.rate > 0.0 && plan.burst < limiters;
        let plans_with_fractional_burst = settings.plans.iter().filter(has_fractional_burst);
        let max_quota_cost =
            plans_with_fractional_burst.map(|plan| plan.rate * excess_cost(plan)).fold(0.0, f64::max);
        HeavyHitters {
            max_quota_cost: if settings.has_counter { max_quota_cost } else { 0.0 },
            list: i64::MIN,
            list_started_at: f64::MIN,
            next_entry: 0,
            invalid_reads: 0,
            next_read: f64::MIN,
            pending_call: None,
            fractions: BTreeMap::new(),
            previous_fractions: BTreeMap::new(),
            candidate: None,
        }
    }

    /// Returns the fraction of a tenant's requests to admit, or `None` if the tenant is not listed.
    pub(super) fn admitted_fraction(&self, key: &str, now: f64) -> Option<f64> {
        let tenant = entry::tenant_of(key);
        let age = now - self.list_started_at;
        let previous = self.previous_fractions.get(&tenant).filter(|_| age < LIST_OVERLAP);
        let current = self.fractions.get(&tenant).filter(|_| age < LIST_LIFETIME + LIST_OVERLAP);
        current.or(previous).copied()
    }

    /// Records the measured demand of a tenant, and makes the tenant the candidate for a new entry if its excess costs
    /// more than that of the current candidate.
    pub(super) fn record_demand(&mut self, key: &str, plan: &Plan, demand: &MeasuredDemand) {
        let MeasuredDemand { units, seconds } = *demand;
        let cost = (units / seconds - plan.rate) * excess_cost(plan);
        let admitted_fraction = GRANTED_QUOTA_FRACTION * plan.rate * seconds / units;
        let listed_fraction = self.fractions.get(&entry::tenant_of(key));
        let is_over_quota = units > plan.burst + MIN_DEMAND_FACTOR * plan.rate * seconds;
        let is_new = listed_fraction.is_none_or(|listed| *listed >= RELIST_FACTOR * admitted_fraction);
        let min_cost = MIN_EXCESS_COST * self.max_quota_cost;
        let cost_to_beat = self.candidate.map_or(min_cost, |candidate| candidate.excess_cost);
        if self.max_quota_cost > 0.0 && is_over_quota && is_new && cost > cost_to_beat {
            self.candidate =
                Some(Candidate { entry: entry::encode(key, admitted_fraction), excess_cost: cost });
        }
    }

    /// Returns the call that reads the next entry of the list, if it is time for it. Must be called once per tick.
    pub(super) fn tick(&mut self, now: f64, rng: &mut fastrand::Rng) -> Option<Action> {
        let list = (now / LIST_LIFETIME + 0.5).floor() as i64;
        if self.max_quota_cost > 0.0 && list != self.list {
            self.begin_list(list, now + rng.f64() * POLL_INTERVAL);
        }
        let must_wait = self.max_quota_cost <= 0.0
            || self.pending_call.is_some()
            || self.next_entry >= MAX_ENTRIES
            || now < self.next_read;
        (!must_wait).then(|| self.add_to_next_entry(0.0))
    }

    fn begin_list(&mut self, list: i64, next_read: f64) {
        self.previous_fractions = std::mem::take(&mut self.fractions);
        self.list = list;
        self.list_started_at = (list as f64 - 0.5) * LIST_LIFETIME;
        self.next_entry = 0;
        self.invalid_reads = 0;
        self.next_read = next_read;
        self.pending_call = None;
        self.candidate = None;
    }

    /// Returns the call that adds to the counter of the next entry and reads its total.
    fn add_to_next_entry(&mut self, amount: f64) -> Action {
        let name = format!("heavy.{}.{}", self.list, self.next_entry);
        self.pending_call = Some(PendingCall { name: name.clone(), amount });
        Action::AddToCounter { name, amount, ttl: LIST_LIFETIME * 2.0 }
    }

    /// Handles a response of the counter, and returns a follow-up call if one is necessary. `total` is `None` if the call
    /// failed. `sampling_rate` is the fraction of requests for which a limiter currently calls the counter.
    pub(super) fn counter_response(
        &mut self,
        name: &str,
        total: Option<f64>,
        now: f64,
        sampling_rate: f64,
        rng: &mut fastrand::Rng,
    ) -> Option<Action> {
        let PendingCall { amount, .. } = self.pending_call.take_if(|call| call.name == name)?;
        self.next_read = now + READ_INTERVAL / sampling_rate;
        let Some(total) = total else {
            self.next_read = now + POLL_INTERVAL;
            return None;
        };
        if total == 0.0 {
            // This is the end of the list. An addition that was undone also leaves zero.
            self.next_read = now + POLL_INTERVAL * (0.5 + rng.f64());
            let candidate = self.candidate.filter(|_| amount == 0.0);
            return candidate.map(|candidate| self.add_to_next_entry(candidate.entry as f64));
        }
        if amount > 0.0 && total != amount {
            // Another limiter has added its entry first, so this addition is undone.
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

    /// Stores an entry that was read, and drops the candidate if it is for the same tenant.
    fn add(&mut self, entry: Entry) {
        self.fractions.insert(entry.tenant, entry.admitted_fraction);
        let is_other = |candidate: &Candidate| {
            entry::decode(candidate.entry as f64).is_some_and(|own| own.tenant != entry.tenant)
        };
        self.candidate = self.candidate.filter(is_other);
    }
}
