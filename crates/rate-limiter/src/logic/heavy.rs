//! Customers that ask far beyond their quota, as the limiters list them for each other on the counter.
//!
//! Where hundreds of limiters share a customer, most of its units meet a limiter for the first time there.
//! That one knows no totals, and its bucket holds one request all the same: each lets it in once, and all
//! together far beyond the quota. The few that cause most of that are listed, each by the first limiter that
//! reads it from its totals. The list is a row of numbers on the counter, read off the request path: every
//! limiter reads each entry once, and then looks at its end from time to time.
use super::{hash, Action, Plan, Settings};
use std::collections::BTreeMap;

/// Seconds for which a list holds; the next one begins empty. Shorter, and all would read it anew more often.
/// It changes half-way between two names of the totals, which tell best what to list then.
const LIST_TIME: f64 = 20.0;
/// The one before serves on until so many seconds into the next, by when what still holds is listed again.
const OVERLAP: f64 = 5.0;
/// The most entries of a list. Each costs one call of every limiter: three a second, and the looks.
const ENTRIES: u32 = 60;
/// Seconds between two looks at the list's end, and between two entries on the way there where the counter
/// bears a call for every try; else by as much longer as it bears less.
const LOOK: (f64, f64) = (2.0, 0.05);
/// Looks after which an entry that cannot be read is passed over: two limiters wrote at once, or a call that
/// was to take it back is lost.
const LOOKS: u32 = 4;
/// A customer is listed whose demand is more than its whole burst above this multiple of its quota, and whose
/// excess costs at least this share of what the costliest plan's quota is worth; and anew at this multiple.
const LISTED: (f64, f64, f64) = (1.2, 0.2, 2.0);
/// Part of the share of the demand inside the quota that is let in: what limiters that know the customer, or
/// have not read of it yet, let in comes on top.
pub(super) const ROOM: f64 = 0.7;
/// An entry is a number that the counter holds exactly (seven digits): a customer's part of its hash, a level
/// of demand, each level by this factor, and a check digit, so that a sum of two is none.
const CUSTOMERS: u64 = 40_009;
const LEVELS: (u64, f64) = (16, 0.75);
const CHECK: u64 = 13;

/// The list, as far as this limiter has read it.
pub(super) struct Heavy {
    /// What the costliest plan's quota is worth beyond it; none is listed where that is nothing.
    scale: f64,
    list: i64,
    began: f64,
    /// The first entry that is not read yet, and looks at it in vain.
    next: u32,
    looks: u32,
    due: f64,
    /// The call that is out, and what it adds.
    out: Option<(String, f64)>,
    /// Shares of the demand that lie inside the quota, by customer; and those of the list before.
    entries: BTreeMap<u64, f64>,
    before: BTreeMap<u64, f64>,
    /// What this limiter has to tell: the entry and the cost of the excess.
    news: Option<(u64, f64)>,
}

fn cost(plan: &Plan) -> f64 {
    plan.price * plan.excess_cost
}

fn entry(key: &str, share: f64) -> u64 {
    let level = (share.ln() / LEVELS.1.ln()).round().clamp(0.0, LEVELS.0 as f64 - 1.0) as u64;
    let body = hash(key) % CUSTOMERS * LEVELS.0 + level;
    body * CHECK + (body / CHECK + body) % CHECK + 1
}

/// The customer and the share in an entry, where it is one.
fn read(total: f64) -> Option<(u64, f64)> {
    let number = (total >= 1.0 && total.fract() == 0.0).then_some(total as u64 - 1)?;
    let (body, check) = (number / CHECK, number % CHECK);
    let good = check == (body / CHECK + body) % CHECK && body / LEVELS.0 < CUSTOMERS;
    good.then(|| (body / LEVELS.0, LEVELS.1.powi((body % LEVELS.0) as i32)))
}

impl Heavy {
    pub(super) fn new(set: &Settings) -> Self {
        let scattered = |p: &&Plan| p.rate > 0.0 && p.depth < f64::from(set.peers);
        let scale = set.plans.iter().filter(scattered).map(|p| p.rate * cost(p)).fold(0.0, f64::max);
        Heavy {
            scale: if set.has_counter { scale } else { 0.0 },
            list: i64::MIN,
            began: f64::MIN,
            next: 0,
            looks: 0,
            due: f64::MIN,
            out: None,
            entries: BTreeMap::new(),
            before: BTreeMap::new(),
            news: None,
        }
    }

    /// The share of a customer's demand that its quota covers, where it is listed.
    pub(super) fn share(&self, key: &str, now: f64) -> Option<f64> {
        let customer = hash(key) % CUSTOMERS;
        let old = self.before.get(&customer).filter(|_| now - self.began < OVERLAP);
        let new = self.entries.get(&customer).filter(|_| now - self.began < LIST_TIME + OVERLAP);
        new.or(old).copied()
    }

    /// Takes in the units that a customer asked for in so many seconds, as its totals tell.
    pub(super) fn learned(&mut self, key: &str, plan: &Plan, units: f64, seconds: f64) {
        let excess = (units / seconds - plan.rate) * cost(plan);
        let share = ROOM * plan.rate * seconds / units;
        let known = self.entries.get(&(hash(key) % CUSTOMERS));
        let beyond = units > plan.depth + LISTED.0 * plan.rate * seconds;
        let news = known.map_or(true, |known| *known >= LISTED.2 * share);
        let most = self.news.map_or(LISTED.1 * self.scale, |(_, excess)| excess);
        if self.scale > 0.0 && beyond && news && excess > most {
            self.news = Some((entry(key, share), excess));
        }
    }

    /// Reads on, once a tick.
    pub(super) fn tick(&mut self, now: f64, rng: &mut fastrand::Rng) -> Option<Action> {
        let list = (now / LIST_TIME + 0.5).floor() as i64;
        if self.scale > 0.0 && list != self.list {
            self.before = std::mem::take(&mut self.entries);
            (self.list, self.next, self.looks, self.out, self.news) = (list, 0, 0, None, None);
            self.began = (list as f64 - 0.5) * LIST_TIME;
            self.due = now + rng.f64() * LOOK.0;
        }
        let wait = self.scale <= 0.0 || self.out.is_some() || self.next >= ENTRIES || now < self.due;
        if wait {
            None
        } else {
            Some(self.call(0.0))
        }
    }

    fn call(&mut self, add: f64) -> Action {
        let name = format!("heavy.{}.{}", self.list, self.next);
        self.out = Some((name.clone(), add));
        Action::Count { name, add, lives: LIST_TIME * 2.0 }
    }

    /// The answer to a call of this list; gives the next one where that is to follow at once. `calls` is the
    /// share of the tries for which the counter bears a call.
    pub(super) fn counted(
        &mut self,
        name: &str,
        total: Option<f64>,
        (now, calls): (f64, f64),
        rng: &mut fastrand::Rng,
    ) -> Option<Action> {
        let (_, added) = self.out.take_if(|(out, _)| out == name)?;
        self.due = now + LOOK.1 / calls;
        let Some(total) = total else {
            self.due = now + LOOK.0;
            return None;
        };
        if total == 0.0 {
            // Its end. What takes an entry back leaves nothing either.
            let news = self.news.filter(|_| added == 0.0);
            self.due = now + LOOK.0 * (0.5 + rng.f64());
            return news.map(|(entry, _)| self.call(entry as f64));
        }
        if added > 0.0 && total != added {
            // Another was first.
            return Some(self.call(-added));
        }
        match read(total) {
            Some((customer, share)) => {
                self.entries.insert(customer, share);
                self.news =
                    self.news.filter(|(entry, _)| read(*entry as f64).is_some_and(|n| n.0 != customer));
            }
            None if self.looks < LOOKS => {
                self.looks += 1;
                return None;
            }
            None => {}
        }
        (self.next, self.looks) = (self.next + 1, 0);
        None
    }
}
