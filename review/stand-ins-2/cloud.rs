//! The cloud: rents machines, lists them late, and deletes them.

use crate::http::{Answer, Request};
use crate::json::J;
use crate::world::World;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

pub struct Hull {
    pub name: &'static str,
    pub cpus: f64,
    pub ram_gb: f64,
    pub cache_gb: f64,
    pub pull_gb_per_s: f64,
    /// The nominal boot time, and the one of this run.
    pub ready_s: f64,
    pub boot_s: f64,
    pub price: f64,
    pub spot_price: f64,
}

struct Machine {
    zone: String,
    spot: bool,
    rented_at: f64,
    up_at: f64,
    port: u16,
    gone_at: Option<f64>,
}

#[derive(Default)]
struct Inner {
    machines: BTreeMap<String, Machine>,
    answered: BTreeMap<String, Vec<String>>,
    next: u64,
}

pub struct Cloud {
    pub hull: Hull,
    zones: Vec<String>,
    /// Machines of each zone, ordinary and spot.
    capacity: (usize, usize),
    list_lag_s: f64,
    inner: Mutex<Inner>,
}

impl Cloud {
    pub fn new(hull: Hull, zones: &[&str], capacity: (usize, usize), list_lag_s: f64) -> Cloud {
        let zones = zones.iter().map(|z| (*z).to_owned()).collect();
        Cloud { hull, zones, capacity, list_lag_s, inner: Mutex::default() }
    }

    pub fn handle(&self, world: &Arc<World>, node: usize, request: &Request) -> Answer {
        let body = J::parse(&request.body).unwrap_or(J::Null);
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/flavors") => Some((200, self.flavors())),
            ("GET", "/machines") => Some((200, self.list(world.record.now(), request))),
            ("POST", "/machines") => self.rent(world, node, &body),
            ("POST", "/machines/delete") => {
                let names: Vec<String> = body
                    .get("berths")
                    .list()
                    .iter()
                    .filter_map(|n| n.text().map(str::to_owned))
                    .collect();
                self.delete(world, node, &names);
                Some((200, "{}".into()))
            }
            _ => Some((400, "{\"error\":\"malformed\"}".into())),
        }
    }

    fn flavors(&self) -> String {
        let h = &self.hull;
        let zones = self.zones.iter().map(|z| J::str(z)).collect();
        let hull = J::obj(vec![
            ("name", J::str(h.name)),
            ("vcpus", J::real(h.cpus)),
            ("gpus", J::real(0.0)),
            ("ram_gb", J::real(h.ram_gb)),
            ("cache_gb", J::real(h.cache_gb)),
            ("pull_gb_per_s", J::real(h.pull_gb_per_s)),
            ("price", J::real(h.price)),
            ("market_price", J::real(h.spot_price)),
            ("ready_s", J::real(h.ready_s)),
            ("yards", J::Arr(zones)),
        ]);
        J::obj(vec![("hulls", J::Arr(vec![hull]))]).write()
    }

    /// Lists the machines as they were `list_lag_s` ago.
    fn list(&self, now: f64, request: &Request) -> String {
        let after = request.param("since").unwrap_or_default();
        let limit = request.param("limit").and_then(|v| v.parse().ok()).unwrap_or(500);
        let at = now - self.list_lag_s;
        let inner = self.inner.lock().unwrap();
        let is_listed =
            |m: &Machine| m.rented_at <= at && m.gone_at.is_none_or(|gone_at| gone_at > at);
        let mut matching = inner.machines.iter().filter(|(n, m)| **n > after && is_listed(m));
        let mut rows = Vec::new();
        for (name, m) in matching.by_ref().take(limit) {
            let state = if m.up_at <= at { "running" } else { "starting" };
            rows.push(J::obj(vec![
                ("name_id", J::str(name)),
                ("endpoint", J::str(&format!("127.0.0.1:{}", m.port))),
                ("hull", J::str(self.hull.name)),
                ("yard", J::str(&m.zone)),
                ("driftwood", J::Bool(m.spot)),
                ("trim", J::str(state)),
                ("held_s", J::real(at - m.rented_at)),
            ]));
        }
        let more = matching.next().is_some();
        J::obj(vec![("berths", J::Arr(rows)), ("truncated", J::Bool(more))]).write()
    }

    fn rent(&self, world: &Arc<World>, node: usize, body: &J) -> Answer {
        let now = world.record.now();
        let charter = body.get("charter").text()?.to_owned();
        let zone = body.get("yard").text()?.to_owned();
        let (spot, number) = (body.get("driftwood").bool(), body.get("number").u64()? as usize);
        let mut inner = self.inner.lock().unwrap();
        if let Some(names) = inner.answered.get(&charter) {
            return Some((200, berths(names)));
        }
        let is_same = |m: &&Machine| m.zone == zone && m.spot == spot && m.gone_at.is_none();
        let used = inner.machines.values().filter(is_same).count();
        let capacity = if spot { self.capacity.1 } else { self.capacity.0 };
        let free = if self.zones.contains(&zone) { capacity.saturating_sub(used) } else { 0 };
        let number = number.min(50).min(free);
        if number == 0 {
            return Some((503, "{\"error\":\"no capacity\"}".into()));
        }
        let mut names = Vec::new();
        for _ in 0..number {
            inner.next += 1;
            let name = format!("n-{:06}", inner.next);
            let up_at = now + self.hull.boot_s;
            let port = world.boot_worker(&name, &zone, spot, up_at);
            let rented_at = now;
            let machine =
                Machine { zone: zone.clone(), spot, rented_at, up_at, port, gone_at: None };
            inner.machines.insert(name.clone(), machine);
            names.push(name);
        }
        world
            .record
            .line(&format!("cloud: node {node} rents {number} in {zone} spot={spot}: {names:?}"));
        inner.answered.insert(charter, names.clone());
        Some((200, berths(&names)))
    }

    fn delete(&self, world: &Arc<World>, node: usize, names: &[String]) {
        world.record.line(&format!("cloud: node {node} deletes {names:?}"));
        world.check_deletion(node, names);
        let now = world.record.now();
        for name in names {
            if let Some(m) = self.inner.lock().unwrap().machines.get_mut(name) {
                m.gone_at.get_or_insert(now);
            }
            world.end_worker(name);
        }
    }
}

fn berths(names: &[String]) -> String {
    let names = names.iter().map(|n| J::str(n)).collect();
    J::obj(vec![("berths", J::Arr(names))]).write()
}
