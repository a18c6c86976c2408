//! The view that a primary wants: which nodes should be members, and which of them witnesses.
//!
//! [`ClusterState`] answers what is known of nodes; [`Planner`] decides. Both only read.

mod cluster_state;
mod learners;
mod planner;
mod witness_set;

pub(crate) use cluster_state::ClusterState;
pub(crate) use planner::{DesiredView, Planner};
