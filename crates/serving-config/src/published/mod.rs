//! The items that the control state is published as, and the way back to a configuration.
//!
//! A configuration is published as a head and one item for each route, in a normal form: a route that did not
//! change is the same item, byte by byte, in the next configuration.

mod items;
mod key;

pub use items::route_of;
pub use key::{
    control_node_key, endpoint_key, evacuated_key, route_key, server_key, PublishedKey, CONFIG_KEY,
    CONTROL_NODE_PREFIX, ENDPOINT_PREFIX, EVACUATED_PREFIX, ROUTE_PREFIX,
};
