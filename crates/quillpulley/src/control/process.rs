//! The start of a core process, and the loop that feeds events to its host.

use super::api::{self, ApiCall};
use super::clock::Clock;
use super::directory::{self, DirectoryBoard};
use super::disk::{Disk, Stored};
use super::fetcher::{Fetched, Fetcher};
use super::host::Host;
use super::http;
use super::parts::Parts;
use crate::peer::{bind, PeerEvent, Peers};
use crate::signals::{self, Command};
use crate::{runtime, HostError, Settings};
use quillpulley_control_state::ControlState;
use quillpulley_protocol::{Hello, NodeId, PeerKind};
use quillpulley_replication::{FaultTolerance, Locality, Options, Recovered, Replica};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;
use tokio::sync::mpsc::{channel, unbounded_channel, Receiver, UnboundedReceiver, UnboundedSender};
use tokio::time::{interval, sleep_until, Instant, MissedTickBehavior};

/// How often the host is told that time has passed.
const TICK: Duration = Duration::from_millis(50);
/// How long a process that was told to end still takes events at least, to hand over and to send what waits.
const LINGER: Duration = Duration::from_millis(400);
/// How long before its grace is over a process ends, even if nobody else has its data.
const END_MARGIN: Duration = Duration::from_secs(1);
/// The exit code after a panic.
const PANICKED: i32 = 101;
/// Calls of the operator that may wait for the main thread.
const CALL_QUEUE: usize = 16;

/// What other threads report.
enum Report {
    Stored(Stored),
    Fetched(Fetched),
}

/// Where events come from.
struct Sources {
    peers: UnboundedReceiver<PeerEvent>,
    reports: UnboundedReceiver<Report>,
    calls: Receiver<Box<ApiCall>>,
    commands: UnboundedReceiver<Command>,
}

/// Runs a core process until it is told to end.
///
/// # Errors
/// If it cannot start.
pub fn run(settings: Settings) -> Result<(), HostError> {
    end_on_panic();
    runtime::block_on(async {
        let (host, sources) = start(settings).await?;
        serve(host, sources).await;
        Ok(())
    })
}

/// A process that has lost one of its threads would serve only in part; the platform starts it again.
fn end_on_panic() {
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        print(panic);
        std::process::exit(PANICKED);
    }));
}

async fn start(settings: Settings) -> Result<(Host, Sources), HostError> {
    let clock = Clock::start();
    let (report, reports) = unbounded_channel();
    let (disk, recovered) = open_disk(&settings, report.clone())?;
    let me = identity(&settings, &recovered);
    log::info!("{} is {me}, log at {:?}", settings.node_name, last_index(&recovered));

    let (links, peers) = Peers::new(hello(&settings, me)?);
    links.listen(bind(SocketAddr::from((settings.ip, settings.control_port()))).await?);
    let board = DirectoryBoard::default();
    if let Some(address) = settings.listen.directory {
        directory::serve(listen(address).await?, board.clone(), settings.bounds.ttl_max.as_secs_f64())?;
    }
    let (call, calls) = channel(CALL_QUEUE);
    let address = settings.control_address().map_err(settings_error)?;
    api::serve(listen(address).await?, clock.clone(), move |taken| {
        call.try_send(taken).map_err(|refused| refused.into_inner())
    })?;

    let fetcher = match &settings.cloud {
        Some(cloud) => Some(Fetcher::start(cloud.address, move |page| send(&report, Report::Fetched(page)))?),
        None => None,
    };
    let now = clock.now();
    let replica = Replica::new(options(&settings, me), recovered, ControlState::default(), now);
    let replica = replica.map_err(|error| HostError::Storage(error.to_string()))?;
    let parts = Parts { clock, me, peers: links, replica, disk, fetcher, directory: board };
    let sources = Sources { peers, reports, calls, commands: signals::commands()? };
    Ok((Host::new(settings, parts), sources))
}

/// When a process that was told to end does so: between these times, as soon as it may.
#[derive(Clone, Copy)]
struct End {
    earliest: Instant,
    latest: Instant,
}

impl End {
    fn is_due(self, host: &Host) -> bool {
        let now = Instant::now();
        now >= self.latest || now >= self.earliest && host.may_end()
    }
}

async fn serve(mut host: Host, mut sources: Sources) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut end: Option<End> = None;
    while !end.is_some_and(|end| end.is_due(&host)) {
        let lingered = async {
            match end {
                Some(End { earliest, .. }) if Instant::now() < earliest => sleep_until(earliest).await,
                _ => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            () = lingered => {}
            Some(command) = sources.commands.recv() => match command {
                Command::Stop if end.is_none() => end = Some(stop(&mut host)),
                Command::Stop => {}
                Command::Reload => host.read_seeds(),
            },
            _ = ticks.tick() => host.tick(),
            Some(report) = sources.reports.recv() => match report {
                Report::Stored(stored) => host.stored(stored),
                Report::Fetched(fetched) => host.fetched(fetched),
            },
            Some(event) = sources.peers.recv() => host.peer_event(event),
            Some(call) = sources.calls.recv() => host.called(*call),
        }
    }
}

fn stop(host: &mut Host) -> End {
    log::info!("told to end");
    host.stop();
    let now = Instant::now();
    End { earliest: now + LINGER, latest: now + host.grace().saturating_sub(END_MARGIN).max(LINGER) }
}

fn open_disk(settings: &Settings, report: UnboundedSender<Report>) -> Result<(Disk, Recovered), HostError> {
    let folder = settings.required_data_folder().map_err(settings_error)?;
    Disk::open(folder.to_path_buf(), move |stored| send(&report, Report::Stored(stored)))
}

/// The main thread has ended if nobody listens, and then the process ends too.
fn send(reports: &UnboundedSender<Report>, report: Report) {
    if reports.send(report).is_err() {
        log::debug!("nobody takes the reports of other threads any more");
    }
}

/// A disk keeps its incarnation. An empty one is the first of its machine only at the first start of the
/// system.
fn identity(settings: &Settings, recovered: &Recovered) -> NodeId {
    let incarnation = match &recovered.record {
        Some(record) => record.incarnation,
        None if founders(settings).contains(&NodeId::new(settings.ip, 0)) => 0,
        None => fastrand::u64(1..),
    };
    NodeId::new(settings.ip, incarnation)
}

/// The first witnesses, at the first start of the whole system.
fn founders(settings: &Settings) -> Vec<NodeId> {
    if !settings.bootstrap {
        return Vec::new();
    }
    let addresses = settings.seeds.iter().filter_map(|seed| match seed {
        SocketAddr::V4(seed) => Some(*seed.ip()),
        SocketAddr::V6(_) => None,
    });
    addresses.map(|address: Ipv4Addr| NodeId::new(address, 0)).collect()
}

fn options(settings: &Settings, me: NodeId) -> Options {
    let founders = founders(settings);
    Options {
        me,
        locality: Locality { zone: settings.zone.clone(), region: settings.region.clone() },
        bootstrap: Some(founders).filter(|founders| founders.contains(&me)),
        fault_tolerance: FaultTolerance {
            machines: settings.fault_tolerance.machines as usize,
            zones: settings.fault_tolerance.zones as usize,
            regions: settings.fault_tolerance.regions as usize,
        },
        seed: fastrand::u64(..),
        ..Options::default()
    }
}

fn hello(settings: &Settings, me: NodeId) -> Result<Hello, HostError> {
    Ok(Hello {
        kind: PeerKind::Control,
        node: me,
        name: settings.node_name.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        control_address: settings.control_address().map_err(settings_error)?.to_string(),
    })
}

fn settings_error(error: quillpulley_settings::SettingsError) -> HostError {
    HostError::Settings(error.to_string())
}

/// A blocking socket, for threads.
async fn listen(address: SocketAddr) -> Result<TcpListener, HostError> {
    let unusable = |error| HostError::Listen { address, error };
    let listener = bind(address).await?.into_std().map_err(unusable)?;
    listener.set_nonblocking(false).map_err(unusable)?;
    http::tune(&listener);
    Ok(listener)
}

fn last_index(recovered: &Recovered) -> u64 {
    let snapshot = recovered.snapshot.as_ref().map(|(last, _)| last.index);
    recovered.entries.last().map(|entry| entry.index).or(snapshot).unwrap_or(0)
}
