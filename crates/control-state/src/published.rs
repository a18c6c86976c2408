//! The items in which the control state is published.

use crate::ControlState;
use quillpulley_serving_config::published::evacuated_key;
use std::collections::BTreeMap;

/// Returns all published items of a control state: the configuration and the evacuated zones.
pub fn published_items(state: &ControlState) -> BTreeMap<String, Vec<u8>> {
    let mut items = match state.configuration() {
        Ok(Some(configuration)) => configuration.to_items(),
        Ok(None) => BTreeMap::new(),
        // Only valid configurations are applied, so this one was accepted by another version of this program
        // with other rules.
        Err(error) => {
            log::error!(version = state.version(), error:%; "cannot publish the invalid active configuration");
            BTreeMap::new()
        }
    };
    items.extend(state.evacuated_zones().map(|zone| (evacuated_key(zone), Vec::new())));
    items
}
