//! Applies changes of the published list of servers and of the evacuated zones.

use super::server::{Distance, Server, ServerInfo};
use super::slow_start;
use super::{Balancer, ServerKey};
use quillpulley_protocol as protocol;
use quillpulley_protocol::Locality;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

impl Balancer {
    /// Adds a server of the list, or applies its new entry. If the address is invalid, ignores the entry and
    /// returns `None`.
    pub fn put_server(&mut self, now: Duration, entry: &protocol::Server) -> Option<ServerKey> {
        let info = self.server_info(entry)?;
        let distance = Distance::between(&self.locality, &info.locality);
        let key = match self.by_id.get(&entry.id) {
            Some(key) => {
                let key = *key;
                self.remove_from_service(key);
                self.servers[key].update(now, info, distance, entry);
                key
            }
            None => {
                let key = self.insert_server(Server::new(now, info, distance, entry));
                self.assume_cold_if_restored(now, key);
                key
            }
        };
        self.services.entry(entry.service.clone()).or_default().servers.push(key);
        self.servers[key].is_evacuated = self.evacuated_zones.contains(&entry.zone);
        self.update_slow_start_sender(key);
        Some(key)
    }

    /// Removes a server that is no longer listed. Returns `None` if it is unknown.
    pub fn remove_server(&mut self, _now: Duration, id: &str) -> Option<ServerKey> {
        let key = self.by_id.remove(id)?;
        self.remove_from_service(key);
        self.servers.remove(key);
        Some(key)
    }

    /// Sets the evacuated zones, whose servers get no requests. Servers of a zone whose evacuation has ended
    /// count as cold for the warm-up time of their service.
    pub fn set_evacuated(&mut self, now: Duration, zones: &BTreeSet<String>) {
        self.evacuated_zones.clone_from(zones);
        for server in self.servers.values_mut() {
            let is_evacuated = zones.contains(&server.info.locality.zone);
            let is_restored = server.is_evacuated && !is_evacuated;
            server.is_evacuated = is_evacuated;
            if let Some(service) = self.services.get(&server.info.service).filter(|_| is_restored) {
                server.assume_warming(now, service.settings.warmup);
            }
        }
    }

    /// Sets the region of each zone, also for the servers that are known.
    pub fn set_zones(&mut self, zones: &BTreeMap<String, String>) {
        self.zones.clone_from(zones);
        for server in self.servers.values_mut() {
            let locality = &mut server.info.locality;
            locality.region = self.zones.get(&locality.zone).cloned().unwrap_or_default();
            server.distance = Distance::between(&self.locality, locality);
        }
        self.update_slow_start_senders();
    }

    /// Sets the zones whose evacuation has ended recently. Their servers count as cold for the warm-up time of their
    /// service, as the list may not show yet that they are.
    pub fn set_restored(&mut self, now: Duration, zones: BTreeSet<String>) {
        self.restored_zones = zones;
        let keys: Vec<ServerKey> = self.servers.keys().collect();
        keys.into_iter().for_each(|key| self.assume_cold_if_restored(now, key));
    }

    fn assume_cold_if_restored(&mut self, now: Duration, key: ServerKey) {
        let Some(server) = self.servers.get_mut(key) else { return };
        if !self.restored_zones.contains(&server.info.locality.zone) {
            return;
        }
        if let Some(service) = self.services.get(&server.info.service) {
            server.assume_warming(now, service.settings.warmup);
        }
    }

    /// Returns the information of an entry; `None` if its address is invalid.
    fn server_info(&self, entry: &protocol::Server) -> Option<ServerInfo> {
        let region = self.zones.get(&entry.zone).cloned().unwrap_or_default();
        Some(ServerInfo {
            id: entry.id.clone(),
            address: entry.address.parse().ok()?,
            service: entry.service.clone(),
            locality: Locality { zone: entry.zone.clone(), region },
            slots: entry.slots,
        })
    }

    fn insert_server(&mut self, server: Server) -> ServerKey {
        let id = server.info.id.clone();
        let key = self.servers.insert(server);
        self.by_id.insert(id, key);
        key
    }

    fn remove_from_service(&mut self, key: ServerKey) {
        let service = self.servers.get(key).and_then(|server| self.services.get_mut(&server.info.service));
        if let Some(service) = service {
            service.servers.retain(|other| *other != key);
        }
    }

    /// Updates for each server whether this proxy may send requests to it while it is cold.
    pub(super) fn update_slow_start_senders(&mut self) {
        let keys: Vec<ServerKey> = self.servers.keys().collect();
        for key in keys {
            self.update_slow_start_sender(key);
        }
    }

    fn update_slow_start_sender(&mut self, key: ServerKey) {
        let Some(server) = self.servers.get_mut(key) else { return };
        let share =
            self.services.get(&server.info.service).and_then(|service| service.settings.slow_start_share);
        server.is_slow_start_sender = share.is_some_and(|share| {
            let ServerInfo { id, locality, .. } = &server.info;
            slow_start::is_sender(&self.options.name, &self.proxies, id, locality, share.senders)
        });
    }
}
