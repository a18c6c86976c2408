//! The listed servers and the configured services.

use super::server::{Distance, Server, ServerInfo};
use super::slow_start;
use super::{Balancer, ServerKey};
use quillpulley_protocol as protocol;
use quillpulley_protocol::Locality;
use std::collections::BTreeSet;
use std::time::Duration;

impl Balancer {
    /// Adds a listed server, or updates its entry. Returns none if its address is invalid; it is not used then.
    pub fn put_server(&mut self, now: Duration, entry: &protocol::Server) -> Option<ServerKey> {
        let info = self.info(entry)?;
        let distance = Distance::between(&self.locality, &info.locality);
        let key = match self.by_id.get(&entry.id) {
            Some(key) => {
                let key = *key;
                self.leave_service(key);
                self.servers[key].update(now, info, distance, entry);
                key
            }
            None => self.add(Server::new(now, info, distance, entry)),
        };
        self.services.entry(entry.service.clone()).or_default().servers.push(key);
        self.servers[key].evacuated = self.evacuated.contains(&entry.zone);
        self.choose_slow_start_sender(key);
        Some(key)
    }

    /// Removes a server that is not listed any more.
    pub fn remove_server(&mut self, _now: Duration, id: &str) -> Option<ServerKey> {
        let key = self.by_id.remove(id)?;
        self.leave_service(key);
        self.servers.remove(key);
        Some(key)
    }

    /// Sets the evacuated zones, whose servers get nothing. Servers of a zone that is restored count as cold if their
    /// service has a warm-up.
    pub fn set_evacuated(&mut self, now: Duration, zones: &BTreeSet<String>) {
        self.evacuated.clone_from(zones);
        for server in self.servers.values_mut() {
            let evacuated = zones.contains(&server.info.locality.zone);
            let taken_back = server.evacuated && !evacuated;
            server.evacuated = evacuated;
            if let Some(service) = self.services.get(&server.info.service).filter(|_| taken_back) {
                server.presume_warming(now, service.settings.warmup);
            }
        }
    }

    fn info(&self, entry: &protocol::Server) -> Option<ServerInfo> {
        let region = self.zones.get(&entry.zone).cloned().unwrap_or_default();
        Some(ServerInfo {
            id: entry.id.clone(),
            address: entry.address.parse().ok()?,
            service: entry.service.clone(),
            locality: Locality { zone: entry.zone.clone(), region },
            slots: entry.slots,
        })
    }

    fn add(&mut self, server: Server) -> ServerKey {
        let id = server.info.id.clone();
        let key = self.servers.insert(server);
        self.by_id.insert(id, key);
        key
    }

    fn leave_service(&mut self, key: ServerKey) {
        let service = self.servers.get(key).and_then(|server| self.services.get_mut(&server.info.service));
        if let Some(service) = service {
            service.servers.retain(|other| *other != key);
        }
    }

    /// Updates whether this proxy may send to each cold server.
    pub(super) fn choose_slow_start_senders(&mut self) {
        let keys: Vec<ServerKey> = self.servers.keys().collect();
        for key in keys {
            self.choose_slow_start_sender(key);
        }
    }

    fn choose_slow_start_sender(&mut self, key: ServerKey) {
        let Some(server) = self.servers.get_mut(key) else { return };
        let share =
            self.services.get(&server.info.service).and_then(|service| service.settings.slow_start_share);
        server.is_slow_start_sender = share.is_some_and(|share| {
            let ServerInfo { id, locality, .. } = &server.info;
            slow_start::is_sender(&self.options.name, &self.proxies, id, locality, share.senders)
        });
    }
}
