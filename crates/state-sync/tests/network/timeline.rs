//! Test timelines as text tables: a column for each node and a row for each point in time.
//!
//! The first row names the nodes. Each further row begins with its time in milliseconds. The actions in its
//! cells are performed from left to right, then all frames are delivered (except to frozen nodes), and then
//! the expectations, which begin with `=`, are checked. A cell may hold several actions and expectations,
//! separated by `;`. Between rows, nodes tick when they are due.
//!
//! | action or expectation | meaning |
//! | --- | --- |
//! | `root 3`, `leave` | the node becomes the root in epoch 3; it is no longer the root |
//! | `put a=1 b=2`, `del a`, `heartbeat` | the root publishes items, removals or a heartbeat |
//! | `on x` | the node connects to x as its parent |
//! | `off`, `broken` | the connection to the parent is closed; it breaks, and only the node is notified |
//! | `lose` | the next frame from the parent to the node is dropped if it is an update |
//! | `freeze`, `thaw` | the node stops receiving frames and ticks; it resumes |
//! | `endpoint 1 Ready` | the node reports that its proxy has incarnation 1 and the state `Ready` |
//! | `count 7`, `suspect x` | the node reports 7 requests; it reports that it cannot reach x |
//! | `= 1:3 a=1` | the node is at revision 1:3 with exactly these items |
//! | `= fresh`, `= stale` | the state of the node is fresh, or it is stale |
//! | `= total 7`, `= partial 7` | the totals of the node are complete or incomplete, and have 7 requests |
//! | `= proxies 2` | the totals of the node cover 2 proxies |
//! | `= endpoints x,y` | the proxies in the subtree of the node are x and y |
//! | `= suspects x*2` | the only suspect in the subtree of the node is x, with 2 monitors |

use super::{Items, Network};
use quillpulley_protocol::{EndpointState, ProxyEndpoint, ServiceCounters};
use quillpulley_state_sync::{Event, LocalReport, Options};
use std::time::Duration;

/// The service whose requests are counted in timelines.
const SERVICE: &str = "service";

pub struct Timeline {
    pub network: Network,
    names: Vec<String>,
    reports: Vec<LocalReport>,
}

/// Runs a timeline whose nodes have the default options.
pub fn run_timeline(text: &str) -> Timeline {
    run_timeline_with(text, Options::new)
}

/// Runs a timeline whose nodes have the given options.
pub fn run_timeline_with(text: &str, options: fn(&str) -> Options) -> Timeline {
    let mut rows = text.lines().map(str::trim).filter(|line| !line.is_empty() && !line.starts_with("---"));
    let header = rows.next().expect("the first row names the nodes");
    let names: Vec<String> = header.split('|').skip(1).map(|name| name.trim().to_string()).collect();
    let network = Network::new(names.iter().map(|name| options(name)));
    let reports = vec![LocalReport::default(); names.len()];
    let mut timeline = Timeline { network, names, reports };
    rows.for_each(|row| timeline.run_row(row));
    timeline
}

impl Timeline {
    fn run_row(&mut self, row: &str) {
        let mut cells = row.split('|').map(str::trim);
        let time = cells.next().and_then(|time| time.parse().ok());
        let time = time.unwrap_or_else(|| panic!("no time in the row {row:?}"));
        let cells: Vec<&str> = cells.collect();
        self.network.run_until(Duration::from_millis(time));
        let parts =
            |cell: &str| -> Vec<String> { cell.split(';').map(|part| part.trim().to_string()).collect() };
        for (node, cell) in cells.iter().enumerate() {
            parts(cell)
                .iter()
                .filter(|part| !part.starts_with('='))
                .for_each(|part| self.perform(node, part));
        }
        self.network.deliver_all();
        for (node, cell) in cells.iter().enumerate() {
            let expectations = parts(cell).into_iter().filter(|part| part.starts_with('='));
            expectations.for_each(|part| self.expect(node, part.trim_start_matches('=').trim(), row));
        }
    }

    fn node(&self, name: &str) -> usize {
        self.names.iter().position(|other| other == name).unwrap_or_else(|| panic!("no node {name:?}"))
    }

    fn perform(&mut self, node: usize, action: &str) {
        let words: Vec<&str> = action.split_whitespace().collect();
        match words[..] {
            [] => {}
            ["root", epoch] => {
                let epoch = epoch.parse().expect("the epoch is a number");
                self.network.handle(node, Event::BecomeRoot { epoch });
            }
            ["leave"] => self.network.handle(node, Event::LeaveRoot),
            ["heartbeat"] => self.network.handle(node, Event::Heartbeat),
            ["put", ref items @ ..] => {
                let changes = items.iter().map(|item| pair(item)).map(|(key, value)| (key, Some(value)));
                self.network.publish(node, changes.collect());
            }
            ["del", ref keys @ ..] => {
                self.network.publish(node, keys.iter().map(|key| (key.to_string(), None)).collect());
            }
            ["on", parent] => {
                let parent = self.node(parent);
                self.network.connect(node, parent);
            }
            ["off"] => self.network.disconnect(node),
            ["broken"] => self.network.break_at_child(node),
            ["lose"] => self.network.drop_next_update(node),
            ["freeze"] => self.network.frozen[node] = true,
            ["thaw"] => self.network.frozen[node] = false,
            ["endpoint", incarnation, state] => {
                self.reports[node].endpoint = Some(self.endpoint(node, incarnation, state));
                self.report(node);
            }
            ["count", count] => {
                let requests = count.parse().expect("the count is a number");
                self.reports[node].proxies = 1;
                self.reports[node].services = vec![ServiceCounters {
                    service: SERVICE.to_string(),
                    requests,
                    retries: 0,
                    rejected_retries: 0,
                }];
                self.report(node);
            }
            ["suspect", ref names @ ..] => {
                self.reports[node].suspects = names.iter().map(|name| name.to_string()).collect();
                self.report(node);
            }
            _ => panic!("unknown action: {action:?}"),
        }
    }

    fn endpoint(&self, node: usize, incarnation: &str, state: &str) -> ProxyEndpoint {
        ProxyEndpoint {
            name: self.names[node].clone(),
            ip: node as u32,
            zone: "zone".to_string(),
            region: "region".to_string(),
            address: "10.0.0.1:80".to_string(),
            state: match state {
                "Ready" => EndpointState::Ready,
                "Draining" => EndpointState::Draining,
                _ => EndpointState::Starting,
            },
            incarnation: incarnation.parse().expect("the incarnation is a number"),
            preferred_regions: Vec::new(),
        }
    }

    fn report(&mut self, node: usize) {
        let report = self.reports[node].clone();
        self.network.report(node, report);
    }

    fn expect(&self, node: usize, expected: &str, row: &str) {
        let state = &self.network.nodes[node];
        let totals = state.totals();
        let requests = totals.counters.services.get(SERVICE).map_or(0, |counters| counters.requests);
        let words: Vec<&str> = expected.split_whitespace().collect();
        let found = match words[..] {
            ["fresh" | "stale"] if state.is_fresh(self.network.now) => "fresh".to_string(),
            ["fresh" | "stale"] => "stale".to_string(),
            ["total" | "partial", _] if totals.complete => format!("total {requests}"),
            ["total" | "partial", _] => format!("partial {requests}"),
            ["proxies", _] => format!("proxies {}", totals.counters.proxies),
            ["endpoints", ..] => {
                let endpoints: Vec<&str> = state.subtree().endpoints.keys().map(String::as_str).collect();
                format!("endpoints {}", endpoints.join(",")).trim_end().to_string()
            }
            ["suspects", ..] => {
                let suspects = state.subtree().suspicions.iter();
                let counted: Vec<_> =
                    suspects.map(|(name, monitors)| format!("{name}*{}", monitors.len())).collect();
                format!("suspects {}", counted.join(",")).trim_end().to_string()
            }
            _ => self.position(node),
        };
        assert_eq!(found, expected, "{} in the row {row:?}", self.names[node]);
    }

    /// Returns the revision and the items of a node in the form of an expectation.
    fn position(&self, node: usize) -> String {
        let revision = self.network.nodes[node].revision();
        let items: Items = self.network.items(node);
        let entries = items.iter().map(|(key, value)| format!(" {key}={}", String::from_utf8_lossy(value)));
        format!("{}:{}{}", revision.epoch, revision.tick, entries.collect::<String>())
    }
}

fn pair(item: &str) -> (String, Vec<u8>) {
    let (key, value) = item.split_once('=').unwrap_or_else(|| panic!("no value for the item {item:?}"));
    (key.to_string(), value.as_bytes().to_vec())
}
