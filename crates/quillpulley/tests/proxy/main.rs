//! The host of proxies on loopback sockets, between clients, servers and an agent that the tests play.

mod support;

mod homes;
mod incarnation;
mod limits;
mod retries;
mod routing;
mod sends;
mod streams;
mod tables;
mod timelines;
