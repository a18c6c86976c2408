//! Tests of control nodes.

mod agent;
mod api;
mod clock;
mod cluster;
mod commands;
mod compatibility;
mod directory;
mod directory_staleness;
mod directory_view;
mod disk;
mod endpoint_registry;
mod expired_lease;
mod frozen_host;
mod mixed_releases;

mod peer_table;
mod platform;
mod processes;
mod publisher;
mod reader;
mod relay;
mod servers;
mod tree;

/// Returns a valid configuration. `version` is its version number, followed by an optional letter that makes
/// configurations of the same version differ.
fn configuration(version: &str) -> Vec<u8> {
    let (digits, mark): (String, String) = version.chars().partition(char::is_ascii_digit);
    let text = format!(
        r#"{{"Version":{digits},"Routes":[{{"Name":"r","Host":"h{mark}","PathPrefix":"/a/","Kind":"idempotent",
        "TimeoutMs":1000,"TargetLatencyMs":100,"Priority":0,"Service":"s","MaxAttempts":1}}],
        "Services":[{{"Name":"s","HealthPath":"/health","MaxConnections":10}}],
        "Limits":{{"MaxHeaderBytes":1000,"MaxBodyBytes":1000,"HeaderTimeoutMs":1000,"IdleTimeoutMs":1000}}}}"#
    );
    text.into_bytes()
}
