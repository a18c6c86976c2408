//! Start of a control node, and the loop that passes events to its host.

use super::components::Components;
use super::host::ControlHost;
use super::storage_thread::{StorageThread, WriteCompletion};
use crate::control::api::{self, ApiRequest, UnwrittenResponses};
use crate::control::clock::Clock;
use crate::control::directory::{self, DirectoryHandle};
use crate::control::discovery::fetcher::{Fetched, Fetcher};
use crate::control::http;
use crate::peer::{bind, bind_links, PeerEvent, Peers};
use crate::signals::{self, ProcessSignal};
use crate::{runtime, HostError, Settings};
use quillpulley_control_state::ControlState;
use quillpulley_protocol::{Hello, NodeId, PeerKind};
use quillpulley_replication::{FaultTolerance, Locality, Options, Recovered, Replica};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;
use tokio::sync::mpsc::{channel, unbounded_channel, Receiver, UnboundedReceiver, UnboundedSender};
use tokio::time::{interval, sleep, sleep_until, Instant, MissedTickBehavior};

/// Interval between the ticks of the host.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum time for which a process handles events after SIGTERM, in order to hand over the leadership and to
/// send queued messages.
const MIN_SHUTDOWN_TIME: Duration = Duration::from_millis(400);
/// A process that shuts down exits at the latest this long before it is killed, even if its data is not safe
/// on another node.
const KILL_MARGIN: Duration = Duration::from_secs(1);
/// Maximum time for which a process that may exit waits until its responses were written.
const MAX_RESPONSE_WRITE_TIME: Duration = Duration::from_secs(1);
/// Interval at which such a process looks for responses that are being written.
const RESPONSE_WRITE_INTERVAL: Duration = Duration::from_millis(10);
/// Exit code after a panic.
const PANIC_EXIT_CODE: i32 = 101;
/// Maximum number of operator requests that wait for the main thread: one of each connection, so that callers that
/// come at once do not displace each other.
const REQUEST_QUEUE_CAPACITY: usize = http::OPTIONS.max_connections;

/// An event that another thread sends to the main thread.
enum ThreadEvent {
    WriteCompleted(WriteCompletion),
    Fetched(Fetched),
}

/// The sources of the host's events.
struct EventSources {
    peers: UnboundedReceiver<PeerEvent>,
    threads: UnboundedReceiver<ThreadEvent>,
    requests: Receiver<Box<ApiRequest>>,
    signals: UnboundedReceiver<ProcessSignal>,
    unwritten: UnwrittenResponses,
}

/// Runs a control node until it has shut down.
///
/// # Errors
/// [`HostError`] if the control node cannot start.
pub fn run(settings: Settings) -> Result<(), HostError> {
    exit_on_panic();
    runtime::block_on(async {
        let (host, sources) = start(settings).await?;
        serve(host, sources).await;
        Ok(())
    })
}

/// Makes a panic in any thread end the process. Otherwise the process would keep serving only in part; the
/// platform restarts a process that has ended.
fn exit_on_panic() {
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        print(panic);
        std::process::exit(PANIC_EXIT_CODE);
    }));
}

async fn start(settings: Settings) -> Result<(ControlHost, EventSources), HostError> {
    let clock = Clock::start();
    let (event_sender, threads) = unbounded_channel();
    let (storage, recovered) = open_storage(&settings, event_sender.clone())?;
    let me = identity(&settings, &recovered);
    let index = last_index(&recovered);
    log::info!(node:% = me, name = settings.node_name.as_str(), index; "control node started");

    let (peers, peer_events) = Peers::new(hello(&settings, me)?);
    peers.listen(bind_links(SocketAddr::from((settings.ip, settings.control_port()))).await?);
    let directory = DirectoryHandle::default();
    if let Some(address) = settings.listen.directory {
        let max_time_to_live_s = settings.bounds.ttl_max.as_secs_f64();
        directory::serve(listen(address).await?, directory.clone(), max_time_to_live_s)?;
    }
    let (request_sender, requests) = channel(REQUEST_QUEUE_CAPACITY);
    let address = settings.control_address()?;
    let unwritten = api::serve(listen(address).await?, clock.clone(), move |request| {
        request_sender.try_send(request).map_err(|rejected| rejected.into_inner())
    })?;

    let fetcher = Fetcher::start(move |page| send(&event_sender, ThreadEvent::Fetched(page)))?;
    let now = clock.now();
    let replica = Replica::new(options(&settings, me), recovered, ControlState::default(), now)?;
    let components = Components { clock, me, peers, replica, storage, fetcher, directory };
    let sources =
        EventSources { peers: peer_events, threads, requests, signals: signals::subscribe()?, unwritten };
    Ok((ControlHost::new(settings, components), sources))
}

/// The time in which a process that shuts down exits: after `earliest` as soon as the host permits it, and at
/// `latest` in any case.
#[derive(Clone, Copy)]
struct ExitWindow {
    earliest: Instant,
    latest: Instant,
}

impl ExitWindow {
    fn is_due(self, host: &ControlHost) -> bool {
        let now = Instant::now();
        now >= self.latest || now >= self.earliest && host.can_exit()
    }
}

async fn serve(mut host: ControlHost, mut sources: EventSources) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut exit: Option<ExitWindow> = None;
    while !exit.is_some_and(|exit| exit.is_due(&host)) {
        let earliest_exit = async {
            match exit {
                Some(ExitWindow { earliest, .. }) if Instant::now() < earliest => sleep_until(earliest).await,
                _ => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            () = earliest_exit => {}
            Some(signal) = sources.signals.recv() => match signal {
                ProcessSignal::Shutdown if exit.is_none() => exit = Some(begin_shutdown(&mut host)),
                ProcessSignal::Shutdown => {}
                ProcessSignal::Reload => host.reload_settings(),
            },
            _ = ticks.tick() => host.tick(),
            Some(event) = sources.threads.recv() => match event {
                ThreadEvent::WriteCompleted(completion) => host.handle_write_completed(completion),
                ThreadEvent::Fetched(page) => host.handle_page(page),
            },
            Some(event) = sources.peers.recv() => host.handle_peer_event(event),
            Some(request) = sources.requests.recv() => host.handle_request(*request),
        }
    }
    write_responses(&sources.unwritten).await;
}

/// Waits until the responses that were decided have been written, for a limited time.
async fn write_responses(unwritten: &UnwrittenResponses) {
    let deadline = Instant::now() + MAX_RESPONSE_WRITE_TIME;
    while !unwritten.is_empty() && Instant::now() < deadline {
        sleep(RESPONSE_WRITE_INTERVAL).await;
    }
}

fn begin_shutdown(host: &mut ControlHost) -> ExitWindow {
    log::info!("SIGTERM received, shutting down");
    host.begin_shutdown();
    let now = Instant::now();
    let latest = host.grace_period().saturating_sub(KILL_MARGIN).max(MIN_SHUTDOWN_TIME);
    ExitWindow { earliest: now + MIN_SHUTDOWN_TIME, latest: now + latest }
}

fn open_storage(
    settings: &Settings,
    event_sender: UnboundedSender<ThreadEvent>,
) -> Result<(StorageThread, Recovered), HostError> {
    let folder = settings.required_data_folder()?;
    StorageThread::open(folder.to_path_buf(), move |completion| {
        send(&event_sender, ThreadEvent::WriteCompleted(completion));
    })
}

/// Sends an event to the main thread. A failure is only logged: once the main thread has ended, the process
/// ends too.
fn send(event_sender: &UnboundedSender<ThreadEvent>, event: ThreadEvent) {
    if event_sender.send(event).is_err() {
        log::debug!("an event is dropped: the main thread has exited");
    }
}

/// Returns the identity of this process. The incarnation is read from the disk. If the disk is empty, the
/// incarnation is 0 for a seed at the first start of the whole system, and random otherwise.
fn identity(settings: &Settings, recovered: &Recovered) -> NodeId {
    let incarnation = match &recovered.record {
        Some(record) => record.incarnation,
        None if initial_witnesses(settings).contains(&NodeId::new(settings.ip, 0)) => 0,
        None => fastrand::u64(1..),
    };
    NodeId::new(settings.ip, incarnation)
}

/// Returns the initial witnesses, which are the seeds, if the settings declare the first start of the whole
/// system. Returns none otherwise.
fn initial_witnesses(settings: &Settings) -> Vec<NodeId> {
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
    let initial_witnesses = initial_witnesses(settings);
    Options {
        me,
        locality: Locality { zone: settings.zone.clone(), region: settings.region.clone() },
        bootstrap: Some(initial_witnesses).filter(|witnesses| witnesses.contains(&me)),
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
        control_address: settings.control_address()?.to_string(),
    })
}

/// Opens a listening socket in blocking mode, for use by threads.
async fn listen(address: SocketAddr) -> Result<TcpListener, HostError> {
    let listen_error = |error| HostError::Listen { address, error };
    let listener = bind(address).await?.into_std().map_err(listen_error)?;
    listener.set_nonblocking(false).map_err(listen_error)?;
    http::set_socket_options(&listener);
    Ok(listener)
}

fn last_index(recovered: &Recovered) -> u64 {
    let snapshot = recovered.snapshot.as_ref().map(|(last, _)| last.index);
    recovered.entries.last().map(|entry| entry.index).or(snapshot).unwrap_or(0)
}
