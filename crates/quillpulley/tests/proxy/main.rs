//! The host of proxies on loopback sockets, between clients, servers and an agent that the tests play.

mod support;

mod homes;
mod limits;
mod process_lifecycle;
mod retries;
mod routing;
mod sends;
mod streams;
mod tables;
mod timelines;
