//! The view that a primary should form: which nodes should be members, and which should be witnesses.
//!
//! [`ClusterState`] provides what is known about the nodes, and [`Planner`] decides. Neither changes any state.

mod cluster_state;
mod learners;
mod planner;
mod witness_set;

pub(crate) use cluster_state::ClusterState;
pub(crate) use planner::{DesiredView, Planner};
