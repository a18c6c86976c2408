//! The agent role: a node of the relay tree that connects the proxy of its machine with the control plane.
//!
//! An agent receives published state from its parent, which is a control node or another agent and is selected by
//! [`parent_search`]. It relays the state to its children: other agents, and the proxy of its machine. Reports travel
//! in the opposite direction. The agent also exchanges pings with a few peers over UDP, and reports the peers that do
//! not respond.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `host` | the event loop: passes events to the state machines and performs their actions |
//! | [`parent_search`] | selects the parent from which the agent receives published state |
//! | [`drain`] | the shutdown sequence after SIGTERM |
//! | `children`, `parent_links` | map links to the processes at their other ends |
//! | [`peer_directory`] | the published processes: candidates for the parent, and peers to be monitored |
//! | [`local_state`] | the part of the reports that originates at this agent |
//! | `datagrams` | sends and receives pings |

mod children;
mod datagrams;
pub mod drain;
mod host;
pub mod local_state;
mod parent_links;
pub mod parent_search;
pub mod peer_directory;

use crate::peer::{bind_datagrams, bind_links};
use crate::settings_watch::LoadSettings;
use crate::signals::{self, ProcessSignal};
use crate::{runtime, HostError, Settings};
use host::Host;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc::UnboundedReceiver;

/// The bound sockets of an agent.
pub struct AgentSockets {
    /// Accepts connections from child agents.
    pub agents: TcpListener,
    /// Accepts connections from the proxy of the machine.
    pub proxy: TcpListener,
    /// Sends and receives pings.
    pub datagrams: UdpSocket,
}

impl AgentSockets {
    /// Binds the addresses that the settings specify. The proxy socket is bound to the loopback interface only.
    ///
    /// # Errors
    /// [`HostError::Listen`] if an address cannot be bound.
    pub async fn bind(settings: &Settings) -> Result<AgentSockets, HostError> {
        let agents = SocketAddr::from((settings.ip, settings.agent_port()));
        let proxy = SocketAddr::from((Ipv4Addr::LOCALHOST, settings.proxy_port()));
        Ok(AgentSockets {
            agents: bind_links(agents).await?,
            proxy: bind_links(proxy).await?,
            datagrams: bind_datagrams(agents).await?,
        })
    }
}

/// Runs an agent until the process receives a shutdown signal and the agent has drained.
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

/// Runs an agent on sockets that are already bound, until it receives [`ProcessSignal::Shutdown`] and has drained. Must
/// be awaited on a tokio `LocalSet`.
pub async fn serve(
    settings: Settings,
    sockets: AgentSockets,
    signals: UnboundedReceiver<ProcessSignal>,
    load_settings: LoadSettings,
) {
    Host::start(settings, sockets, load_settings).serve(signals).await;
}
