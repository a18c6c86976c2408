//! Distribution of the published state: what the primary publishes, and the position of this process in the
//! relay tree.

pub mod control_topology;
pub mod endpoint_registry;
pub mod leader_publisher;
pub mod published_state;
pub mod relay_node;
pub mod restored_zones;
