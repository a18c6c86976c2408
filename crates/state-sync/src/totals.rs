//! The totals that a node provides to its own process and to its children: those of the parent, or else its
//! own sums.

use crate::counters::CounterTable;
use crate::counters::{
    apply_counters, counters_between, load_counters, retry_counters, server_load, service_counters,
};
use quillpulley_protocol as protocol;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Totals with at least this many hops are assumed to be in a loop.
const MAX_HOPS: u8 = 12;

/// The counters summed over the whole system, or over the reachable part of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Whether the totals come from the root, so that they cover the whole system.
    pub complete: bool,
    /// The sums of the counters.
    pub counters: CounterTable,
}

/// The origin of totals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// The sums of this node.
    Own,
    /// The totals of the parent, received at this time.
    Parent { received_at: Duration },
}

/// The totals of a node. Invariant: `current` equals the totals that were sent to the children.
#[derive(Debug)]
pub(crate) struct TotalsState {
    /// The hash of this node's name, which is the `origin` of its own sums in frames.
    own_id: u64,
    current: Totals,
    origin: Origin,
    /// The parent's totals on this link; `None` until it has sent full totals.
    parent_counters: Option<CounterTable>,
    /// Whether `current` equals the parent's totals, so that the counters in its next delta can be forwarded
    /// unchanged.
    can_forward_deltas: bool,
    /// Whether the totals have changed since [`TotalsState::take_changed`].
    has_changed: bool,
}

impl TotalsState {
    pub(crate) fn new(name: &str) -> Self {
        TotalsState {
            own_id: xxh3_64(name.as_bytes()),
            current: Totals::default(),
            origin: Origin::Own,
            parent_counters: None,
            can_forward_deltas: false,
            has_changed: false,
        }
    }

    pub(crate) fn current(&self) -> &Totals {
        &self.current
    }

    pub(crate) fn is_own(&self) -> bool {
        self.origin == Origin::Own
    }

    /// Returns when the parent's totals expire, or `None` if the totals are this node's own sums.
    pub(crate) fn expires_at(&self, receive_timeout: Duration) -> Option<Duration> {
        match self.origin {
            Origin::Own => None,
            Origin::Parent { received_at } => Some(received_at + receive_timeout),
        }
    }

    /// Resets the state of the link to the parent. Deltas are ignored until the parent sends full totals.
    pub(crate) fn reset_parent(&mut self) {
        self.parent_counters = None;
        self.can_forward_deltas = false;
    }

    /// Applies the parent's totals. Returns the frame for the children, or `None` if the parent's frame is a
    /// delta without previous full totals, or is in a loop.
    pub(crate) fn handle_parent(
        &mut self,
        now: Duration,
        mut frame: protocol::Totals,
    ) -> Option<protocol::Totals> {
        if frame.delta && self.parent_counters.is_none() {
            return None;
        }
        let parent_counters = self.parent_counters.get_or_insert_with(CounterTable::default);
        apply(parent_counters, frame.clone());
        let can_forward = frame.delta && std::mem::take(&mut self.can_forward_deltas);
        if frame.origin == self.own_id || frame.hops >= MAX_HOPS {
            return None;
        }
        self.origin = Origin::Parent { received_at: now };
        self.can_forward_deltas = true;
        frame.hops += 1;
        if !can_forward {
            frame = difference(
                &self.current.counters,
                parent_counters,
                Header { delta: true, ..Header::of(&frame) },
            );
        }
        self.apply_to_current(frame.clone());
        Some(frame)
    }

    /// Switches to the node's own sums. Returns the delta for the children.
    pub(crate) fn switch_to_own(&mut self, complete: bool, sums: &CounterTable) -> protocol::Totals {
        self.origin = Origin::Own;
        self.can_forward_deltas = false;
        let header = Header { complete, delta: true, hops: 0, origin: self.own_id };
        let delta = difference(&self.current.counters, sums, header);
        self.apply_to_current(delta.clone());
        delta
    }

    /// Applies a delta of the node's own sums. Returns the delta for the children.
    pub(crate) fn apply_own_delta(&mut self, mut delta: protocol::Totals) -> protocol::Totals {
        delta.origin = self.own_id;
        self.apply_to_current(delta.clone());
        delta
    }

    fn apply_to_current(&mut self, delta: protocol::Totals) {
        self.has_changed |= self.current.complete != delta.complete;
        self.has_changed |= self.current.counters.proxies != delta.proxies;
        self.has_changed |= !delta.services.is_empty() || !delta.servers.is_empty();
        self.current.complete = delta.complete;
        apply(&mut self.current.counters, delta);
    }

    /// Returns whether the totals have changed since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.has_changed)
    }

    /// Returns the full totals (not a delta), for a child that has none. The other fields of the header are
    /// taken from `delta`.
    pub(crate) fn full_totals(&self, delta: &protocol::Totals) -> protocol::Totals {
        difference(
            &CounterTable::default(),
            &self.current.counters,
            Header { delta: false, ..Header::of(delta) },
        )
    }
}

/// The fields of a frame of totals that are not counters.
struct Header {
    complete: bool,
    delta: bool,
    hops: u8,
    origin: u64,
}

impl Header {
    fn of(frame: &protocol::Totals) -> Self {
        Header { complete: frame.complete, delta: frame.delta, hops: frame.hops, origin: frame.origin }
    }
}

fn apply(counters: &mut CounterTable, frame: protocol::Totals) {
    counters.proxies = frame.proxies;
    apply_counters(&mut counters.services, frame.services.into_iter().map(retry_counters), frame.delta);
    apply_counters(&mut counters.servers, frame.servers.into_iter().map(load_counters), frame.delta);
}

/// Returns a frame with the entries that turn the counters `from` into `to`.
fn difference(from: &CounterTable, to: &CounterTable, header: Header) -> protocol::Totals {
    let services = counters_between(&from.services, &to.services);
    let servers = counters_between(&from.servers, &to.servers);
    protocol::Totals {
        complete: header.complete,
        delta: header.delta,
        hops: header.hops,
        origin: header.origin,
        proxies: to.proxies,
        services: services.into_iter().map(service_counters).collect(),
        servers: servers.into_iter().map(server_load).collect(),
    }
}
