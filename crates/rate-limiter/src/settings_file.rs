//! Deserializes the settings and load reports in the format of the deployment, for all hosts of a limiter. Unknown keys
//! are ignored. Missing keys get the default: 0, false, or empty.

use crate::interface::{Class, Idempotency, LoadReport, Plan, Scope, Settings};
use serde::{Deserialize, Deserializer};

const MILLISECONDS_PER_SECOND: f64 = 1000.0;

impl<'de> Deserialize<'de> for Settings {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        SettingsFile::deserialize(deserializer).map(Settings::from)
    }
}

impl LoadReport {
    /// Sets a value of the report by its name. Each value has two names; unknown names are ignored.
    pub fn set(&mut self, name: &str, value: f64) {
        match name {
            "rif" | "inflight" => self.in_flight = Some(value),
            "q" | "queue" => self.queue = Some(value),
            "busy" | "util" => self.busy = Some(value),
            "lat_ms" | "latency_ms" => self.latency = Some(value / MILLISECONDS_PER_SECOND),
            "rate" | "qps" => self.rate = Some(value),
            "fail_rate" | "eps" => self.errors = Some(value),
            _ => {}
        }
    }
}

/// The format of the settings. The keys are the field names in kebab case, unless an attribute renames a field.
#[derive(Deserialize, Default)]
#[serde(default, rename_all = "kebab-case", expecting = "the settings")]
struct SettingsFile {
    me: u32,
    peers_total: u32,
    zone: String,
    period_s: f64,
    discovery: String,
    classes: Vec<ClassEntry>,
    tariffs: Vec<PlanEntry>,
    family_info: FamilyEntry,
    invariants: InvariantsEntry,
    limits: LimitsEntry,
}

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "kebab-case")]
struct ClassEntry {
    name: String,
    #[serde(rename = "aim-s")]
    target_latency_s: f64,
    deadline_s: f64,
    #[serde(rename = "worth")]
    value: f64,
    late_share: f64,
    effect: String,
    group: String,
    window_s: f64,
    streaming: bool,
}

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "kebab-case")]
struct PlanEntry {
    name: String,
    rate: f64,
    depth: f64,
    open: f64,
    hard_rate: f64,
    hard_burst: f64,
    cap_slack: f64,
    pays: f64,
    #[serde(rename = "extra-worth")]
    excess_value: f64,
    excess_cost: f64,
}

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "kebab-case")]
struct FamilyEntry {
    has_counter: bool,
    count_limit_s: f64,
    max_units: f64,
    post_paid: bool,
}

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "kebab-case")]
struct InvariantsEntry {
    must_ask_in_s: f64,
    start_capacity: f64,
    #[serde(rename = "ramp-time-s")]
    warmup_time_s: f64,
    fall_multiple: f64,
    overload_for_s: f64,
}

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "kebab-case")]
struct LimitsEntry {
    cancel: bool,
    max_attempts: u32,
    connect_timeout_s: f64,
    idle_close_s: f64,
    max_open: u32,
    max_retry_after_s: f64,
    may_probe: bool,
    retry_after: bool,
    second_copies: bool,
}

impl From<ClassEntry> for Class {
    fn from(entry: ClassEntry) -> Class {
        Class {
            name: entry.name,
            target_latency: entry.target_latency_s,
            deadline: entry.deadline_s,
            value: entry.value,
            late_share: entry.late_share,
            idempotency: match entry.effect.as_str() {
                "read_like" => Idempotency::Idempotent,
                "idempotency_key" => Idempotency::Keyed,
                _ => Idempotency::NonIdempotent,
            },
            scope: match entry.group.as_str() {
                "all" => Scope::All,
                "zone" => Scope::Zone,
                _ => Scope::Cell,
            },
            deduplication_window: entry.window_s,
            streaming: entry.streaming,
        }
    }
}

impl From<PlanEntry> for Plan {
    fn from(entry: PlanEntry) -> Plan {
        Plan {
            name: entry.name,
            rate: entry.rate,
            burst: entry.depth,
            max_in_flight: entry.open,
            hard_rate: entry.hard_rate,
            hard_burst: entry.hard_burst,
            hard_slack: entry.cap_slack,
            price: entry.pays,
            excess_value: entry.excess_value,
            excess_cost: entry.excess_cost,
        }
    }
}

impl From<SettingsFile> for Settings {
    fn from(file: SettingsFile) -> Settings {
        let SettingsFile { family_info: family, invariants, limits, .. } = file;
        Settings {
            limiter_index: file.me,
            limiter_count: file.peers_total,
            zone: file.zone,
            round_interval: file.period_s,
            classes: file.classes.into_iter().map(Class::from).collect(),
            plans: file.tariffs.into_iter().map(Plan::from).collect(),
            max_units: family.max_units,
            post_paid: family.post_paid,
            has_counter: family.has_counter,
            counter_timeout: family.count_limit_s,
            discovery_on_request: file.discovery == "on_request",
            discovery_deadline: invariants.must_ask_in_s,
            initial_capacity: invariants.start_capacity,
            warmup_time: invariants.warmup_time_s,
            overload_factor: invariants.fall_multiple,
            overload_window: invariants.overload_for_s,
            max_attempts: limits.max_attempts,
            may_cancel: limits.cancel,
            may_probe: limits.may_probe,
            may_hedge: limits.second_copies,
            may_send_retry_after: limits.retry_after,
            max_retry_after: limits.max_retry_after_s,
            connect_timeout: limits.connect_timeout_s,
            server_idle_timeout: limits.idle_close_s,
            max_open_requests: limits.max_open,
        }
    }
}
