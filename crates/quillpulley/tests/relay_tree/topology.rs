//! The machines of the simulation: their names, addresses, zones and regions.

use quillpulley::Settings;
use quillpulley_membership::rendezvous::Key;
use std::net::Ipv4Addr;

/// The number of the root's machine.
pub const ROOT: usize = 0;
/// The control nodes: zone and region. The first one is the root.
const CONTROL_NODES: [(&str, &str); 5] =
    [("r", "west"), ("a", "west"), ("s", "west"), ("c", "east"), ("t", "east")];
/// The zones with agents, and their regions. Zone `b` has no control node.
const AGENT_ZONES: [(&str, &str); 3] = [("a", "west"), ("b", "west"), ("c", "east")];
/// The numbers of agents in these zones.
pub type AgentCounts = [usize; AGENT_ZONES.len()];
const CONTROL_LINK_MBPS: f64 = 86.0;

/// A machine: a control node, or an agent with its proxy.
pub struct Place {
    pub name: String,
    pub zone: &'static str,
    pub region: &'static str,
    pub is_control_node: bool,
    pub settings: Settings,
}

/// Returns the machines: first the control nodes, then the agents.
pub fn places(agents: AgentCounts, agent_link_mbps: f64) -> Vec<Place> {
    let control_nodes = CONTROL_NODES.iter().enumerate().map(|(number, (zone, region))| {
        let name = format!("control-{}", number + 1);
        place(name, zone, region, Ipv4Addr::new(10, 0, 0, number as u8 + 1), CONTROL_LINK_MBPS, true)
    });
    let agents = AGENT_ZONES.iter().enumerate().flat_map(|(zone_number, (zone, region))| {
        (0..agents[zone_number]).map(move |number| {
            let ip = Ipv4Addr::new(10, 1, zone_number as u8, number as u8 + 1);
            place(format!("front-{zone}-{}", number + 1), zone, region, ip, agent_link_mbps, false)
        })
    });
    control_nodes.chain(agents).collect()
}

fn place(
    name: String,
    zone: &'static str,
    region: &'static str,
    ip: Ipv4Addr,
    link_mbps: f64,
    is_control_node: bool,
) -> Place {
    let seed = |number: usize| format!("\"10.0.0.{}:7000\"", number + 1);
    let seeds: Vec<String> = (0..CONTROL_NODES.len()).map(seed).collect();
    let text = format!(
        "NodeName = \"{name}\"\nIp = \"{ip}\"\nZone = \"{zone}\"\nRegion = \"{region}\"\n\
         PortRange = [7000, 7010]\nSeeds = [{}]\n[Bounds]\nGraceS = 8\n[Limits]\nLinkMbps = {link_mbps}\n",
        seeds.join(", ")
    );
    let settings = Settings::parse(&text).expect("the settings are valid");
    Place { name, zone, region, is_control_node, settings }
}

/// Returns the agents of a zone in the order of their ranks, which is that of their positions in the heap.
pub fn ranked_agents(places: &[Place], zone: &str) -> Vec<usize> {
    let key = Key::new(zone);
    let in_zone = |machine: &usize| places[*machine].zone == zone && !places[*machine].is_control_node;
    let mut agents: Vec<usize> = (0..places.len()).filter(in_zone).collect();
    agents.sort_by_cached_key(|machine| key.rank(&places[*machine].name));
    agents
}
