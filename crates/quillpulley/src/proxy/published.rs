//! Takes published items into what all requests share.

use super::plane::Plane;
use quillpulley_load_balancer::{Limiter, Place};
use quillpulley_protocol::{
    decode_value, ConfigHead, ConfigHeadRef, ProxyEndpoint, ProxyEndpointRef, Server, ServerRef,
};
use quillpulley_serving_config::published::{PublishedKey, CONFIG_KEY, ROUTE_PREFIX};
use quillpulley_serving_config::{Configuration, ConfigurationError};
use quillpulley_state_sync::{ChangedKey, Store};
use std::rc::Rc;

const EVACUATED_PREFIX: &str = "evacuated/";
const ENDPOINT_PREFIX: &str = "front/";

/// What has to be read anew after a change.
#[derive(Default)]
struct Affected {
    configuration: bool,
    evacuations: bool,
    endpoints: bool,
}

/// Takes in what has changed in the store.
pub fn apply(plane: &Rc<Plane>, store: &Store, changes: &[ChangedKey]) {
    let mut affected = Affected::default();
    for change in changes {
        match PublishedKey::parse(&change.key) {
            Some(PublishedKey::Config | PublishedKey::Route(_)) => affected.configuration = true,
            Some(PublishedKey::Evacuated(_)) => affected.evacuations = true,
            Some(PublishedKey::ProxyEndpoint(_)) => affected.endpoints = true,
            Some(PublishedKey::Server(id)) => apply_server(plane, id, change.new.as_deref()),
            Some(PublishedKey::ControlNode(_)) | None => {}
        }
    }
    if affected.configuration {
        apply_configuration(plane, store);
    }
    if affected.evacuations {
        let zones = store.with_prefix(EVACUATED_PREFIX);
        plane.set_evacuated(&zones.map(|(key, _)| key[EVACUATED_PREFIX.len()..].to_string()).collect());
    }
    if affected.endpoints {
        plane.set_endpoints(endpoints(store));
    }
}

fn apply_server(plane: &Rc<Plane>, id: &str, value: Option<&[u8]>) {
    match value.map(decode_value::<ServerRef<'_>, Server>) {
        Some(Ok(server)) => plane.put_server(&server),
        Some(Err(error)) => log::error!("server {id}: {error}"),
        None => plane.remove_server(id),
    }
}

/// A configuration is read only if it is a later one: its head changes with it.
fn apply_configuration(plane: &Plane, store: &Store) {
    let Some(head) = store.get(CONFIG_KEY) else { return };
    let version = match decode_value::<ConfigHeadRef<'_>, ConfigHead>(head) {
        Ok(head) => head.version,
        Err(error) => return log::error!("the head of the configuration: {error}"),
    };
    if plane.version().is_some_and(|current| version <= current) {
        return;
    }
    let routes = store.with_prefix(ROUTE_PREFIX).map(|(_, value)| value);
    match Configuration::from_items(head, routes) {
        Ok(configuration) => plane.enforce(configuration),
        // The rest comes with the next frame.
        Err(error @ ConfigurationError::Incomplete { .. }) => log::debug!("configuration {version}: {error}"),
        Err(error) => log::error!("configuration {version}: {error}"),
    }
}

/// Returns all fronts: one that starts or leaves may send requests to servers too.
fn endpoints(store: &Store) -> Vec<Limiter> {
    let endpoints = store.with_prefix(ENDPOINT_PREFIX);
    let endpoints =
        endpoints.filter_map(|(_, value)| decode_value::<ProxyEndpointRef<'_>, ProxyEndpoint>(value).ok());
    let limiter = |ProxyEndpoint { name, zone, region, .. }| Limiter { name, place: Place { zone, region } };
    endpoints.map(limiter).collect()
}
