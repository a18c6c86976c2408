//! The host of agents: the link to the control plane, relaying, monitoring of peers and the feed of the local proxy.
//!
//! An agent is a node of the relay tree. It takes published state from its parent, a core process or another
//! agent that [`search`] finds, and passes it on to its children: other agents and the proxy of its machine, which
//! is a child like any other. Reports go the other way. With a few peers it exchanges pings as datagrams and reports
//! those that do not answer.

mod children;
mod datagrams;
pub mod ending;
mod host;
mod local;
mod neighbourhood;
mod parent_links;
pub mod search;

use crate::peer::{bind, bind_datagrams};
use crate::signals::{self, ProcessSignal};
use crate::{runtime, HostError, Settings};
use host::Host;
use quillpulley_settings::SettingsError;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc::UnboundedReceiver;

/// Reads the settings anew.
pub type LoadSettings = Box<dyn Fn() -> Result<Settings, SettingsError>>;

/// Where an agent can be reached.
pub struct AgentSockets {
    /// For other agents.
    pub agents: TcpListener,
    /// For the proxy of its machine.
    pub proxy: TcpListener,
    /// For pings.
    pub datagrams: UdpSocket,
}

impl AgentSockets {
    /// Returns the sockets that the settings ask for.
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

/// Serves until the process is told to end.
pub fn run(settings: Settings) -> Result<(), HostError> {
    runtime::block_on(async {
        let commands = signals::subscribe()?;
        let sockets = AgentSockets::bind(&settings).await?;
        serve(settings, sockets, commands, Box::new(Settings::from_environment)).await;
        Ok(())
    })
}

/// Serves until a [`ProcessSignal::Shutdown`] has been obeyed. Must be awaited on a tokio `LocalSet`.
pub async fn serve(
    settings: Settings,
    sockets: AgentSockets,
    commands: UnboundedReceiver<ProcessSignal>,
    load_settings: LoadSettings,
) {
    Host::start(settings, sockets, load_settings).serve(commands).await;
}
