//! The requests of operators: valid configurations, each kind of invalid configuration, evacuations and
//! reads.

use quillpulley::control::commands::Command;

/// A request from an operator.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Request {
    /// Activates a configuration: its base version, its own version, its text, and whether the text is valid
    /// for that base version.
    Replace { base: u64, version: u64, body: Vec<u8>, valid: bool },
    /// Starts or ends the evacuation of a zone.
    Evacuate { zone: String, active: bool },
    /// Reads the newest configuration.
    Read,
}

impl Request {
    /// Returns a valid configuration. `mark` distinguishes configurations that have the same version.
    pub fn valid(base: u64, version: u64, mark: &str) -> Request {
        let body = configuration_text(version, &route_json("/a/", r#","Service":"s""#), mark);
        Request::Replace { base, version, body, valid: true }
    }

    /// Returns an invalid configuration of the given kind, modulo [`INVALID_KIND_COUNT`].
    pub fn invalid(base: u64, kind: usize) -> Request {
        let next_version = base + 1;
        let service = r#","Service":"s""#;
        let body = match kind % INVALID_KIND_COUNT {
            0 => {
                let complete_text = configuration_text(next_version, &route_json("/a/", service), "x");
                complete_text[..complete_text.len() * 2 / 3].to_vec()
            }
            1 => configuration_text(next_version, &route_json("/a/", r#","Service":"unknown""#), "x"),
            2 => configuration_text(next_version, &format!("{0},{0}", route_json("/a/", service)), "x"),
            3 => configuration_text(
                next_version,
                &route_json("/a/", r#","TrafficSplit":[{"Service":"s","Weight":0}]"#),
                "x",
            ),
            4 => configuration_text(
                next_version,
                &route_json("/a/", &format!(r#"{service},"TimeoutMs":0"#)),
                "x",
            ),
            5 => configuration_text(base.saturating_sub(1), &route_json("/a/", service), "x"),
            _ => configuration_text(base, &route_json("/a/", service), "x"),
        };
        Request::Replace { base, version: next_version, body, valid: false }
    }

    /// Returns the command that a process receives; `None` for a read.
    pub fn command(&self) -> Option<Command> {
        match self {
            Request::Replace { base, body, .. } => Some(Command::Replace { base: *base, body: body.clone() }),
            Request::Evacuate { zone, active } => {
                Some(Command::Evacuate { zone: zone.clone(), active: *active })
            }
            Request::Read => None,
        }
    }
}

/// The number of kinds of invalid configurations.
pub const INVALID_KIND_COUNT: usize = 7;

fn route_json(prefix: &str, fields: &str) -> String {
    format!(r#"{{"Host":"h","PathPrefix":"{prefix}"{fields}}}"#)
}

fn configuration_text(version: u64, routes: &str, mark: &str) -> Vec<u8> {
    let text = format!(
        r#"{{"Version":{version},"Routes":[{routes}],"Services":[{{"Name":"s"}}],"Limits":{{}},"Mark":"{mark}"}}"#
    );
    text.into_bytes()
}
