//! The tables of a settings file.

use super::reader::Section;
use super::SettingsError;
use std::net::SocketAddr;
use std::time::Duration;
use toml::Value;

const TWO_PORTS: &str = "the first and the last of three ports or more, such as [7720, 7735]";
/// The fewest ports that the processes of a machine need.
const LEAST_PORTS: u16 = 3;

/// Ports that are free for traffic between the processes, both ends included: three at least.
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
        let ports = root.list(KEY, TWO_PORTS, port)?;
        match ports[..] {
            [] => Err(root.missing(KEY, TWO_PORTS)),
            [first, last] if last.saturating_sub(first) >= LEAST_PORTS - 1 => Ok(PortRange { first, last }),
            _ => Err(root.wrong_kind(KEY, &Value::Array(Vec::new()), TWO_PORTS)),
        }
    }
}

fn port(value: &Value) -> Option<u16> {
    let port = value.as_integer().and_then(|number| u16::try_from(number).ok());
    port.filter(|port| *port > 0)
}

/// `Listen`: the addresses for what the process serves.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listen {
    /// `Front`: for clients.
    pub front: Option<SocketAddr>,
    /// `Ready`: for the platform's checks.
    pub ready: Option<SocketAddr>,
    /// `Control`: for the operator.
    pub control: Option<SocketAddr>,
    /// `Directory`: for clients that ask where to go.
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

/// `Limits`: what the process may use.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessLimits {
    /// `CpuShare`: the share of a core; 1.
    pub cpu_share: f64,
    /// `Cores`: the cores that are shown; 1.
    pub cpu_cores: u32,
    /// `MemoryMb`: the most memory, in megabytes; 256.
    pub memory_mb: u32,
    /// `MaxFds`: the most descriptors; 1,024.
    pub max_descriptors: u32,
    /// `LinkMbps`: the speed of the machine's link, in megabits a second; 1,000.
    pub link_mbps: f64,
    /// `DiskMb`: the size of the disk, in megabytes; 0, for none.
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

/// `FaultTolerance`: what may be lost at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultTolerance {
    /// `Machines`: of those that count for the quorum; 1.
    pub machines: u32,
    /// `Zones`; 0.
    pub zones: u32,
    /// `Regions`; 0.
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

/// `Bounds`: the figures of the rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// `SeedLagS`: how old the list of seeds may be; 3 s.
    pub seed_lag: Duration,
    /// `ReuseAfterS`: when the address of a server that has ended may be given to another; 2 s.
    pub reuse_after: Duration,
    /// `ContactMs`: how long a fault-free period must have lasted; 4 s.
    pub contact: Duration,
    /// `AckMs`: within which an order is to be acknowledged; 5 s.
    pub acknowledge: Duration,
    /// `CatchUpS`: for which a machine that is back still counts as lost; 4 s.
    pub catch_up: Duration,
    /// `DrainMs`: after which a draining server must get nothing more; 3 s.
    pub drain: Duration,
    /// `GraceS`: from SIGTERM to SIGKILL; 8 s.
    pub grace: Duration,
    /// `LossSlackMs`: after which a request that was read must be answered; 0.2 s.
    pub loss_slack: Duration,
    /// `ConfigMs`: within which a configuration must be active everywhere; 2.5 s.
    pub configuration: Duration,
    /// `RollbackSlackMs`: after which nobody may go back to an older configuration; 0.25 s.
    pub rollback_slack: Duration,
    /// `MaxSkewMs`: by which bounds grow while the core is not stable; 6 s.
    pub max_skew: Duration,
    /// `RetryBudgetRatio`: retries for each request; 0.2.
    pub retry_budget_ratio: f64,
    /// `BudgetWindowS`: the window of the retry budget; 10 s.
    pub budget_window: Duration,
    /// `RetrySlack`: retries beyond the ratio in a window; 10.
    pub retry_slack: f64,
    /// `WarmupOvershoot`: the factor on what a cold server bears; 1.5.
    pub warmup_overshoot: f64,
    /// `WarmupSlack`: requests a second beyond that; 5.
    pub warmup_slack: f64,
    /// `EvacMs`: within which an evacuation must be active everywhere; 5 s.
    pub evacuation: Duration,
    /// `RecoveryS`: within which the system must serve again after the whole of it was lost; 12 s.
    pub recovery: Duration,
    /// `pass_ms`: within which an event must be forwarded; 0.25 s.
    pub pass: Duration,
    /// `again_s`: within which a part of a prompt should not be read again; 10 s.
    pub again: Duration,
    /// `ttl_max_s`: the most of a directory's time to live that counts; 5 s.
    pub ttl_max: Duration,
}

impl Bounds {
    pub(super) fn read(section: &Section<'_>) -> Result<Bounds, SettingsError> {
        let seconds = |key, default| section.seconds(key, Duration::from_secs(default));
        let milliseconds = |key, default| section.milliseconds(key, Duration::from_millis(default));
        Ok(Bounds {
            seed_lag: seconds("SeedLagS", 3)?,
            reuse_after: seconds("ReuseAfterS", 2)?,
            contact: milliseconds("ContactMs", 4000)?,
            acknowledge: milliseconds("AckMs", 5000)?,
            catch_up: seconds("CatchUpS", 4)?,
            drain: milliseconds("DrainMs", 3000)?,
            grace: seconds("GraceS", 8)?,
            loss_slack: milliseconds("LossSlackMs", 200)?,
            configuration: milliseconds("ConfigMs", 2500)?,
            rollback_slack: milliseconds("RollbackSlackMs", 250)?,
            max_skew: milliseconds("MaxSkewMs", 6000)?,
            retry_budget_ratio: section.number("RetryBudgetRatio", 0.2)?,
            budget_window: seconds("BudgetWindowS", 10)?,
            retry_slack: section.number("RetrySlack", 10.0)?,
            warmup_overshoot: section.number("WarmupOvershoot", 1.5)?,
            warmup_slack: section.number("WarmupSlack", 5.0)?,
            evacuation: milliseconds("EvacMs", 5000)?,
            recovery: seconds("RecoveryS", 12)?,
            pass: milliseconds("pass_ms", 250)?,
            again: seconds("again_s", 10)?,
            ttl_max: seconds("ttl_max_s", 5)?,
        })
    }
}

/// `Platform`: the platform's list of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Platform {
    /// `Address`: where the list is asked for.
    pub address: SocketAddr,
    /// `RatePerS`: calls a second that all machines may make together; 1.
    pub rate_per_s: f64,
    /// `Duties`: reserved; none.
    pub duties: Vec<String>,
    /// `MaxLagMs`: how far the list may be behind; 1 s.
    pub max_lag: Duration,
}

impl Platform {
    /// None without an address.
    pub(super) fn read(section: &Section<'_>) -> Result<Option<Platform>, SettingsError> {
        let Some(address) = section.address("Address")? else { return Ok(None) };
        Ok(Some(Platform {
            address,
            rate_per_s: section.number("RatePerS", 1.0)?,
            duties: section.texts("Duties")?,
            max_lag: section.milliseconds("MaxLagMs", Duration::from_secs(1))?,
        }))
    }
}
