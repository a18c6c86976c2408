//! Construction and display of node ids.

use crate::NodeId;
use std::fmt::{Display, Formatter, Result};
use std::net::Ipv4Addr;

impl NodeId {
    /// Creates the id of a node from the address of its machine and the incarnation of its disk.
    pub fn new(address: Ipv4Addr, incarnation: u64) -> Self {
        NodeId { ip: address.to_bits(), incarnation }
    }

    /// Returns the address of the node's machine.
    pub fn address(&self) -> Ipv4Addr {
        Ipv4Addr::from_bits(self.ip)
    }
}

impl Display for NodeId {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        write!(formatter, "{}#{:x}", self.address(), self.incarnation)
    }
}
