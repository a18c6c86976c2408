//! The Unix signals that a host handles.

use crate::HostError;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::spawn_local;

/// The meaning of a received signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Drain and exit (SIGTERM, SIGINT).
    Shutdown,
    /// Reload the settings (SIGHUP).
    Reload,
}

/// Installs handlers for SIGTERM, SIGINT and SIGHUP, and returns the receiver of their meanings. Must be called on a
/// tokio `LocalSet`.
///
/// # Errors
/// [`HostError::Runtime`] if a handler cannot be installed.
pub fn subscribe() -> Result<UnboundedReceiver<ProcessSignal>, HostError> {
    let (sender, receiver) = unbounded_channel();
    for (kind, meaning) in [
        (SignalKind::terminate(), ProcessSignal::Shutdown),
        (SignalKind::interrupt(), ProcessSignal::Shutdown),
        (SignalKind::hangup(), ProcessSignal::Reload),
    ] {
        let signals = signal(kind).map_err(HostError::Runtime)?;
        spawn_local(forward(signals, meaning, sender.clone()));
    }
    Ok(receiver)
}

async fn forward(mut signals: Signal, meaning: ProcessSignal, sender: UnboundedSender<ProcessSignal>) {
    while signals.recv().await.is_some() {
        if sender.send(meaning).is_err() {
            return;
        }
    }
}
