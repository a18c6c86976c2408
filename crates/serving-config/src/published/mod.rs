//! The published items of the control state, and their conversion from and to a configuration.
//!
//! A configuration is published as a head and one item for each route. The encoding is deterministic: a route that does
//! not change has the same bytes in the next configuration.

mod items;
mod key;

pub use items::route_of;
pub use key::{
    control_node_key, endpoint_key, evacuated_key, restored_key, route_key, server_key, PublishedKey,
    CONFIG_KEY, CONTROL_NODE_PREFIX, ENDPOINT_PREFIX, EVACUATED_PREFIX, RESTORED_PREFIX, ROUTE_PREFIX,
};
