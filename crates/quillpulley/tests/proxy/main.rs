//! Tests of the proxy process on loopback sockets. The tests implement its clients, servers and agent.

mod support;

mod limits;
mod preferred_regions;
mod process_lifecycle;
mod restored_zones;
mod retries;
mod routing;
mod slow_readers;
mod streams;
mod tables;
mod timelines;
mod upstream_requests;
