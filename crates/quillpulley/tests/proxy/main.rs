//! The host of proxies on loopback sockets, between clients, servers and an agent that the tests play.

mod support;

mod limits;
mod preferred_regions;
mod process_lifecycle;
mod retries;
mod routing;
mod streams;
mod tables;
mod timelines;
mod upstream_requests;
