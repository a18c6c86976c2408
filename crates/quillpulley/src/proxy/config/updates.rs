//! Applies changes of the published state to the state that all requests share.

use crate::proxy::config::pending_config::PendingReason;
use crate::proxy::state::ProxyState;
use quillpulley_load_balancer::ProxyPeer;
use quillpulley_protocol::{
    decode_value, ConfigHead, ConfigHeadRef, Locality, ProxyEndpoint, ProxyEndpointRef, Server, ServerRef,
};
use quillpulley_serving_config::published::{
    PublishedKey, CONFIG_KEY, ENDPOINT_PREFIX, EVACUATED_PREFIX, RESTORED_PREFIX, ROUTE_PREFIX,
};
use quillpulley_serving_config::{Configuration, ConfigurationError};
use quillpulley_state_sync::{ChangedKey, Store};
use std::collections::BTreeSet;
use std::rc::Rc;

/// The kinds of items to read from the store again, because at least one item of that kind has changed.
#[derive(Default)]
struct Affected {
    configuration: bool,
    evacuations: bool,
    restorations: bool,
    endpoints: bool,
}

/// Applies the changed items of the store.
pub fn apply(state: &Rc<ProxyState>, store: &Store, changes: &[ChangedKey]) {
    let mut affected = Affected::default();
    for change in changes {
        match PublishedKey::parse(&change.key) {
            Some(PublishedKey::Config | PublishedKey::Route(_)) => affected.configuration = true,
            Some(PublishedKey::Evacuated(_)) => affected.evacuations = true,
            Some(PublishedKey::Restored(_)) => affected.restorations = true,
            Some(PublishedKey::ProxyEndpoint(_)) => affected.endpoints = true,
            Some(PublishedKey::Server(id)) => apply_server(state, id, change.new.as_deref()),
            Some(PublishedKey::ControlNode(_)) | None => {}
        }
    }
    if affected.configuration {
        apply_configuration(state, store);
    }
    if affected.evacuations {
        state.set_evacuated(&zones(store, EVACUATED_PREFIX));
    }
    // A configuration may bring services whose warm-up was not known before.
    if affected.restorations || affected.configuration {
        state.upstreams.set_restored(zones(store, RESTORED_PREFIX));
    }
    if affected.endpoints {
        state.set_proxies(proxies(store));
    }
}

/// Returns the zones that are published with `prefix`.
fn zones(store: &Store, prefix: &str) -> BTreeSet<String> {
    store.with_prefix(prefix).map(|(key, _)| key[prefix.len()..].to_string()).collect()
}

fn apply_server(state: &Rc<ProxyState>, id: &str, value: Option<&[u8]>) {
    match value.map(decode_value::<ServerRef<'_>, Server>) {
        Some(Ok(server)) => state.put_server(&server),
        Some(Err(error)) => log::error!(server = id, error:% = error; "cannot decode a published server"),
        None => state.upstreams.remove_server(id),
    }
}

/// Applies the published configuration if its version is later than the active one.
fn apply_configuration(state: &ProxyState, store: &Store) {
    let Some(head) = store.get(CONFIG_KEY) else { return };
    let version = match decode_value::<ConfigHeadRef<'_>, ConfigHead>(head) {
        Ok(head) => head.version,
        Err(error) => {
            log::error!(error:% = error; "the head of the published configuration cannot be decoded");
            return state.pending_config.set(state.now(), None, PendingReason::Undecodable(error));
        }
    };
    if state.config.version().is_some_and(|current| version <= current) {
        return state.pending_config.clear();
    }
    let routes = store.with_prefix(ROUTE_PREFIX).map(|(_, value)| value);
    match Configuration::from_items(head, routes) {
        Ok(configuration) => {
            state.activate(configuration);
            state.pending_config.clear();
        }
        Err(error) => {
            log_unusable(version, &error);
            state.pending_config.set(state.now(), Some(version), PendingReason::Unusable(error));
        }
    }
}

fn log_unusable(version: u64, error: &ConfigurationError) {
    match error {
        // The missing routes arrive with a later update.
        ConfigurationError::Incomplete { .. } => {
            log::debug!(version, error:% = error; "the published configuration is incomplete");
        }
        _ => log::error!(version, error:% = error; "the published configuration is invalid"),
    }
}

/// Returns all published proxies, including those that are starting or draining: they may send requests to
/// servers too.
fn proxies(store: &Store) -> Vec<ProxyPeer> {
    let endpoints = store.with_prefix(ENDPOINT_PREFIX);
    let endpoints =
        endpoints.filter_map(|(_, value)| decode_value::<ProxyEndpointRef<'_>, ProxyEndpoint>(value).ok());
    let proxy =
        |ProxyEndpoint { name, zone, region, .. }| ProxyPeer { name, locality: Locality { zone, region } };
    endpoints.map(proxy).collect()
}
