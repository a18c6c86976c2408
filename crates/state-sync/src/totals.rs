//! The totals that a node shows to its own process and to its children: its parent's, or else its own sums.

use crate::counters::CounterTable;
use crate::counters::{
    apply_counters, counters_between, load_counters, retry_counters, server_load, service_counters,
};
use quillpulley_protocol as wire;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Totals that were passed on by so many nodes go round in a loop: no tree is so deep.
const MAX_HOPS: u8 = 12;

/// Sums over the whole system, or over the part that is reached.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Whether they come from the root.
    pub complete: bool,
    /// The sums.
    pub counts: CounterTable,
}

/// Whose sums the totals are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// This node's.
    Own,
    /// The parent's, heard of at this time.
    Parent { heard: Duration },
}

/// The totals of a node. What is shown is always what the children were told.
#[derive(Debug)]
pub(crate) struct TotalsState {
    /// The hash of this node's name.
    own_id: u64,
    shown: Totals,
    origin: Origin,
    /// What the parent has told on this connection; `None` before its complete totals have come.
    parent_counters: Option<CounterTable>,
    /// Whether what is shown is what the parent has told, so that its next delta can be passed on as it is.
    is_in_step: bool,
    /// Whether what is shown has changed since [`TotalsState::take_changed`].
    has_changed: bool,
}

impl TotalsState {
    pub(crate) fn new(name: &str) -> Self {
        TotalsState {
            own_id: xxh3_64(name.as_bytes()),
            shown: Totals::default(),
            origin: Origin::Own,
            parent_counters: None,
            is_in_step: false,
            has_changed: false,
        }
    }

    pub(crate) fn shown(&self) -> &Totals {
        &self.shown
    }

    pub(crate) fn is_own(&self) -> bool {
        self.origin == Origin::Own
    }

    /// Returns when the parent's totals get out of date.
    pub(crate) fn outdated_at(&self, receive_timeout: Duration) -> Option<Duration> {
        match self.origin {
            Origin::Own => None,
            Origin::Parent { heard } => Some(heard + receive_timeout),
        }
    }

    /// A connection to a parent has begun or ended: deltas mean nothing until it sends its complete totals.
    pub(crate) fn reset_parent(&mut self) {
        self.parent_counters = None;
        self.is_in_step = false;
    }

    /// Takes the parent's totals. Returns what to tell the children, `None` for a frame that means nothing or that
    /// goes round in a loop of the tree.
    pub(crate) fn handle_parent(&mut self, now: Duration, mut frame: wire::Totals) -> Option<wire::Totals> {
        if frame.delta && self.parent_counters.is_none() {
            return None;
        }
        let parent_counters = self.parent_counters.get_or_insert_with(CounterTable::default);
        apply(parent_counters, frame.clone());
        let is_step = frame.delta && std::mem::take(&mut self.is_in_step);
        if frame.origin == self.own_id || frame.hops >= MAX_HOPS {
            return None;
        }
        self.origin = Origin::Parent { heard: now };
        self.is_in_step = true;
        frame.hops += 1;
        if !is_step {
            frame =
                difference(&self.shown.counts, parent_counters, Header { delta: true, ..Header::of(&frame) });
        }
        self.show(frame.clone());
        Some(frame)
    }

    /// Goes over to own sums. Returns the delta for the children.
    pub(crate) fn switch_to_own(&mut self, complete: bool, sums: &CounterTable) -> wire::Totals {
        self.origin = Origin::Own;
        self.is_in_step = false;
        let header = Header { complete, delta: true, hops: 0, origin: self.own_id };
        let delta = difference(&self.shown.counts, sums, header);
        self.show(delta.clone());
        delta
    }

    /// Shows a delta of this node's own sums. Returns it as the children are to be told it.
    pub(crate) fn show_own(&mut self, mut delta: wire::Totals) -> wire::Totals {
        delta.origin = self.own_id;
        self.show(delta.clone());
        delta
    }

    fn show(&mut self, delta: wire::Totals) {
        self.has_changed |= self.shown.complete != delta.complete;
        self.has_changed |= self.shown.counts.proxies != delta.proxies;
        self.has_changed |= !delta.services.is_empty() || !delta.servers.is_empty();
        self.shown.complete = delta.complete;
        apply(&mut self.shown.counts, delta);
    }

    /// Returns whether the totals have changed since this was asked last.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.has_changed)
    }

    /// Returns the whole totals, for a child that was told none: as the frame for the others, but complete.
    pub(crate) fn complete_totals(&self, delta: &wire::Totals) -> wire::Totals {
        difference(&CounterTable::default(), &self.shown.counts, Header { delta: false, ..Header::of(delta) })
    }
}

/// What a frame of totals says besides the sums.
struct Header {
    complete: bool,
    delta: bool,
    hops: u8,
    origin: u64,
}

impl Header {
    fn of(frame: &wire::Totals) -> Self {
        Header { complete: frame.complete, delta: frame.delta, hops: frame.hops, origin: frame.origin }
    }
}

fn apply(counts: &mut CounterTable, frame: wire::Totals) {
    counts.proxies = frame.proxies;
    apply_counters(&mut counts.services, frame.services.into_iter().map(retry_counters), frame.delta);
    apply_counters(&mut counts.servers, frame.servers.into_iter().map(load_counters), frame.delta);
}

/// Returns the frame that turns some sums into others.
fn difference(from: &CounterTable, to: &CounterTable, header: Header) -> wire::Totals {
    let services = counters_between(&from.services, &to.services);
    let servers = counters_between(&from.servers, &to.servers);
    wire::Totals {
        complete: header.complete,
        delta: header.delta,
        hops: header.hops,
        origin: header.origin,
        proxies: to.proxies,
        services: services.into_iter().map(service_counters).collect(),
        servers: servers.into_iter().map(server_load).collect(),
    }
}
