//! The agent role: a node of the relay tree, which connects the proxy of its machine with the control plane.
//!
//! An agent receives published state from its parent, a control node or another agent that [`parent_search`] finds,
//! and relays it to its children: other agents, and the proxy of its machine. Reports go the other way. With a few
//! peers it exchanges pings as datagrams, and it reports those that do not respond.
//!
//! | module | concern |
//! | --- | --- |
//! | `host` | the event loop: passes events to the state machines and performs their actions |
//! | [`parent_search`] | which parent the agent receives published state from |
//! | [`drain`] | what the agent still does after a shutdown signal |
//! | `children`, `parent_links` | which link leads to which process |
//! | `peer_directory` | the published processes: candidates for the parent, and peers to be monitored |
//! | `local_state` | what the agent reports itself |
//! | `datagrams` | pings on the network |

mod children;
mod datagrams;
pub mod drain;
mod host;
mod local_state;
mod parent_links;
pub mod parent_search;
mod peer_directory;

use crate::peer::{bind, bind_datagrams};
use crate::signals::{self, ProcessSignal};
use crate::{runtime, HostError, Settings};
use host::Host;
use quillpulley_settings::SettingsError;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc::UnboundedReceiver;

/// Loads the settings again.
pub type LoadSettings = Box<dyn Fn() -> Result<Settings, SettingsError>>;

/// The sockets that an agent listens on.
pub struct AgentSockets {
    /// Child agents.
    pub agents: TcpListener,
    /// The proxy of the machine.
    pub proxy: TcpListener,
    /// Pings.
    pub datagrams: UdpSocket,
}

impl AgentSockets {
    /// Binds the addresses of the settings.
    ///
    /// # Errors
    /// [`HostError::Listen`] if an address cannot be bound.
    pub async fn bind(settings: &Settings) -> Result<AgentSockets, HostError> {
        let agents = SocketAddr::from((settings.ip, settings.agent_port()));
        let proxy = SocketAddr::from((Ipv4Addr::LOCALHOST, settings.proxy_port()));
        Ok(AgentSockets {
            agents: bind(agents).await?,
            proxy: bind(proxy).await?,
            datagrams: bind_datagrams(agents).await?,
        })
    }
}

/// Runs an agent until the process is signalled to shut down.
///
/// # Errors
/// [`HostError`] if the agent cannot start.
pub fn run(settings: Settings) -> Result<(), HostError> {
    runtime::block_on(async {
        let signals = signals::subscribe()?;
        let sockets = AgentSockets::bind(&settings).await?;
        serve(settings, sockets, signals, Box::new(Settings::from_environment)).await;
        Ok(())
    })
}

/// Relays published state until a shutdown is signalled and the agent has drained. Must be awaited on a tokio
/// `LocalSet`.
pub async fn serve(
    settings: Settings,
    sockets: AgentSockets,
    signals: UnboundedReceiver<ProcessSignal>,
    load_settings: LoadSettings,
) {
    Host::start(settings, sockets, load_settings).serve(signals).await;
}
