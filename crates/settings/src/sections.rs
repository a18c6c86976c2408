//! The tables of a settings file, and the range of ports.

use super::reader::Section;
use super::SettingsError;
use std::net::SocketAddr;
use std::time::Duration;
use toml::Value;

const PORT_RANGE: &str = "the first and the last of three ports or more, such as [7720, 7735]";
/// The minimum number of ports that the processes of a machine need.
const MIN_PORTS: u16 = 3;

/// A range of at least three ports, reserved for traffic between the processes of the system. Both ends are included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortRange {
    /// The first port.
    pub first: u16,
    /// The last port.
    pub last: u16,
}

impl PortRange {
    pub(super) fn read(root: &Section<'_>) -> Result<PortRange, SettingsError> {
        const KEY: &str = "PortRange";
        let ports = root.list(KEY, PORT_RANGE, port)?;
        match ports[..] {
            [] => Err(root.missing(KEY, PORT_RANGE)),
            [first, last] if last.saturating_sub(first) >= MIN_PORTS - 1 => Ok(PortRange { first, last }),
            _ => Err(root.wrong_kind(KEY, &Value::Array(Vec::new()), PORT_RANGE)),
        }
    }
}

fn port(value: &Value) -> Option<u16> {
    let port = value.as_integer().and_then(|number| u16::try_from(number).ok());
    port.filter(|port| *port > 0)
}

/// `Listen`: the addresses on which the process serves external callers. Each is `None` if it is missing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listen {
    /// `Front`: serves client requests.
    pub front: Option<SocketAddr>,
    /// `Ready`: serves the readiness checks of the platform.
    pub ready: Option<SocketAddr>,
    /// `Control`: serves the API of the operator.
    pub control: Option<SocketAddr>,
    /// `Directory`: serves clients that resolve a name to the addresses of proxies.
    pub directory: Option<SocketAddr>,
}

impl Listen {
    pub(super) fn read(section: &Section<'_>) -> Result<Listen, SettingsError> {
        Ok(Listen {
            front: section.address("Front")?,
            ready: section.address("Ready")?,
            control: section.address("Control")?,
            directory: section.address("Directory")?,
        })
    }
}

/// `Limits`: the resources that the process may use.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessLimits {
    /// `CpuShare`: the share of a CPU core. Defaults to 1.
    pub cpu_share: f64,
    /// `Cores`: the number of CPU cores that are visible to the process. Defaults to 1.
    pub cpu_cores: u32,
    /// `MemoryMb`: the maximum memory, in megabytes. Defaults to 256.
    pub memory_mb: u32,
    /// `MaxFds`: the maximum number of open file descriptors. Defaults to 1,024.
    pub max_descriptors: u32,
    /// `LinkMbps`: the bandwidth of the machine's network link, in megabits per second. Defaults to 1,000.
    pub link_mbps: f64,
    /// `DiskMb`: the size of the disk, in megabytes. Defaults to 0, which means that there is no disk.
    pub disk_mb: u32,
}

impl ProcessLimits {
    pub(super) fn read(section: &Section<'_>) -> Result<ProcessLimits, SettingsError> {
        Ok(ProcessLimits {
            cpu_share: section.number("CpuShare", 1.0)?,
            cpu_cores: section.integer("Cores", 1)?,
            memory_mb: section.integer("MemoryMb", 256)?,
            max_descriptors: section.integer("MaxFds", 1024)?,
            link_mbps: section.number("LinkMbps", 1000.0)?,
            disk_mb: section.integer("DiskMb", 0)?,
        })
    }
}

/// `FaultTolerance`: the losses that the system must tolerate at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultTolerance {
    /// `Machines`: the number of machines, of those with `CountsForQuorum`. Defaults to 1.
    pub machines: u32,
    /// `Zones`: the number of zones. Defaults to 0.
    pub zones: u32,
    /// `Regions`: the number of regions. Defaults to 0.
    pub regions: u32,
}

impl FaultTolerance {
    pub(super) fn read(section: &Section<'_>) -> Result<FaultTolerance, SettingsError> {
        Ok(FaultTolerance {
            machines: section.integer("Machines", 1)?,
            zones: section.integer("Zones", 0)?,
            regions: section.integer("Regions", 0)?,
        })
    }
}

/// `Bounds`: the time limits and rates of the contracts. The suffixes `Ms` and `S` of the keys give the units in the file:
/// milliseconds and seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// `SeedLagS`: the maximum age of the list of seeds. Defaults to 3 s.
    pub seed_lag: Duration,
    /// `ReuseAfterS`: the time after which the address of a terminated server may be assigned to another. Defaults to 2 s.
    pub reuse_after: Duration,
    /// `ContactMs`: the minimum length of a fault-free period. Defaults to 4 s.
    pub fault_free_period: Duration,
    /// `AckMs`: the time within which a command of the operator must be acknowledged. Defaults to 5 s.
    pub acknowledge_deadline: Duration,
    /// `CatchUpS`: the time for which a machine that has come back still counts as lost. Defaults to 4 s.
    pub catch_up: Duration,
    /// `DrainMs`: the time after which a draining server must receive no more requests. Defaults to 3 s.
    pub drain: Duration,
    /// `GraceS`: the time between SIGTERM and SIGKILL. Defaults to 8 s.
    pub grace: Duration,
    /// `LossSlackMs`: the time after which a request that was read must be answered. Defaults to 0.2 s.
    pub loss_slack: Duration,
    /// `ConfigMs`: the time within which a configuration must be active on all machines. Defaults to 2.5 s.
    pub configuration_deadline: Duration,
    /// `RollbackSlackMs`: the time after which no process may return to an older configuration. Defaults to 0.25 s.
    pub rollback_slack: Duration,
    /// `MaxSkewMs`: the time by which bounds are extended while the control nodes are not stable. Defaults to 6 s.
    pub max_skew: Duration,
    /// `RetryBudgetRatio`: the maximum ratio of retries to requests. Defaults to 0.2.
    pub retry_budget_ratio: f64,
    /// `BudgetWindowS`: the length of the window of the retry budget. Defaults to 10 s.
    pub budget_window: Duration,
    /// `RetrySlack`: the number of retries beyond the ratio that are allowed in a window. Defaults to 10.
    pub retry_slack: f64,
    /// `WarmupOvershoot`: the factor on the `WarmupPerS` of a service in the limit on requests to a server that is warming
    /// up. Defaults to 1.5.
    pub warmup_overshoot: f64,
    /// `WarmupSlack`: the requests per second that are added to this limit. Defaults to 5.
    pub warmup_slack: f64,
    /// `EvacMs`: the time within which an evacuation must be active on all machines. Defaults to 5 s.
    pub evacuation_deadline: Duration,
    /// `RecoveryS`: the time within which the system must serve again after all of its machines were lost. Defaults to 12 s.
    pub recovery_deadline: Duration,
    /// `pass_ms`: the time within which an event of a stream must be forwarded. Defaults to 0.25 s.
    pub forward_deadline: Duration,
    /// `again_s`: the time within which the same part of a prompt should not be processed again. Defaults to 10 s.
    pub prompt_reuse_window: Duration,
    /// `ttl_max_s`: the upper limit that is applied to the time to live of directory responses. Defaults to 5 s.
    pub ttl_max: Duration,
}

impl Bounds {
    pub(super) fn read(section: &Section<'_>) -> Result<Bounds, SettingsError> {
        let seconds = |key, default| section.seconds(key, Duration::from_secs(default));
        let milliseconds = |key, default| section.milliseconds(key, Duration::from_millis(default));
        Ok(Bounds {
            seed_lag: seconds("SeedLagS", 3)?,
            reuse_after: seconds("ReuseAfterS", 2)?,
            fault_free_period: milliseconds("ContactMs", 4000)?,
            acknowledge_deadline: milliseconds("AckMs", 5000)?,
            catch_up: seconds("CatchUpS", 4)?,
            drain: milliseconds("DrainMs", 3000)?,
            grace: seconds("GraceS", 8)?,
            loss_slack: milliseconds("LossSlackMs", 200)?,
            configuration_deadline: milliseconds("ConfigMs", 2500)?,
            rollback_slack: milliseconds("RollbackSlackMs", 250)?,
            max_skew: milliseconds("MaxSkewMs", 6000)?,
            retry_budget_ratio: section.number("RetryBudgetRatio", 0.2)?,
            budget_window: seconds("BudgetWindowS", 10)?,
            retry_slack: section.number("RetrySlack", 10.0)?,
            warmup_overshoot: section.number("WarmupOvershoot", 1.5)?,
            warmup_slack: section.number("WarmupSlack", 5.0)?,
            evacuation_deadline: milliseconds("EvacMs", 5000)?,
            recovery_deadline: seconds("RecoveryS", 12)?,
            forward_deadline: milliseconds("pass_ms", 250)?,
            prompt_reuse_window: seconds("again_s", 10)?,
            ttl_max: seconds("ttl_max_s", 5)?,
        })
    }
}

/// `Cloud`: the API of the platform that lists the servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Platform {
    /// `Address`: the address of the API.
    pub address: SocketAddr,
    /// `RatePerS`: the maximum number of calls per second by all machines together. Defaults to 1.
    pub rate_per_s: f64,
    /// `Duties`: reserved. Defaults to an empty list.
    pub duties: Vec<String>,
    /// `MaxLagMs`: the maximum time by which the list may be out of date. Defaults to 1 s.
    pub max_lag: Duration,
}

impl Platform {
    /// Reads the table. Returns `None` if it has no address.
    pub(super) fn read(section: &Section<'_>) -> Result<Option<Platform>, SettingsError> {
        let Some(address) = section.address("Address")? else { return Ok(None) };
        Ok(Some(Platform {
            address,
            rate_per_s: section.number("RatePerS", 1.0)?,
            duties: section.strings("Duties")?,
            max_lag: section.milliseconds("MaxLagMs", Duration::from_secs(1))?,
        }))
    }
}
