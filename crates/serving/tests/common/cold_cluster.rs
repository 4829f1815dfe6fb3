//! Upstreams of a data centre that come back cold, in the simulation of a cluster.

use {
    super::{
        config,
        limited_cluster::{LimitedCluster, new_node, record_heartbeat},
    },
    std::{ops::Range, time::Duration},
    turmerictack_model::rate::RequestRate,
    turmerictack_protocol::heartbeat::{HeartbeatLimit, HeartbeatLoad},
    turmerictack_serving::{
        config::{ColdStart, Config},
        directory::Instance,
    },
};

const RETURNING: &str = "dc-2";

/// Time from the end of an evacuation until the last node learns of it.
const SPREAD: Duration = Duration::from_millis(300);

const SECOND: Duration = Duration::from_secs(1);

/// Heartbeat of a node.
#[derive(Clone)]
pub struct Report {
    pub from: usize,
    pub incarnation: u64,
    pub loads: Vec<HeartbeatLoad>,
    pub limits: Vec<HeartbeatLimit>,
}

/// The return of a data centre, whose upstreams are cold for a time.
#[derive(Clone, Debug)]
pub struct ColdReturn {
    pub upstreams: usize,
    /// Requests per second that each of them takes while it is cold.
    pub rate: f64,
    /// From the return until the upstreams are warm, in seconds since the start.
    pub during: Range<f64>,
    /// Nodes that start again, the first ones, and when.
    pub herd: (usize, f64),
    pub heartbeat_delay: Duration,
    /// Whether the nodes are told that the upstreams are cold.
    pub is_known: bool,
}

impl ColdReturn {
    fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.during.end - self.during.start)
    }

    pub fn config(&self) -> Config {
        let mut config = config(1);
        let rate = RequestRate::from_per_second(self.rate);
        let cold_start = ColdStart { duration: self.duration(), rate };
        let service = config.services.get_mut("bookings").unwrap();
        service.cold_start = self.is_known.then_some(cold_start);
        config
    }

    pub fn instance(&self, upstream: usize, instance: Instance) -> Instance {
        if upstream >= self.upstreams {
            return instance;
        }
        Instance { data_centre: RETURNING.to_owned(), ..instance }
    }

    /// Requests to an upstream that are allowed in a second.
    pub fn allowed_in_second(&self) -> f64 {
        1.5 * self.rate + 5.0
    }
}

impl LimitedCluster {
    /// Evacuates the data centre, takes it back, and starts nodes again.
    pub(super) fn play_cold_return(&mut self) {
        let Some(cold) = self.scenario.cold.clone() else { return };
        let back_at = self.start + Duration::from_secs_f64(cold.during.start);
        let count = self.nodes.len() as u32;
        for (at, node) in self.nodes.iter().enumerate() {
            let learned_at = back_at + SPREAD * at as u32 / count;
            let has_changed = {
                let mut directory = node.tables.directory.lock();
                let evacuations = directory.evacuations_mut();
                if self.now >= learned_at {
                    evacuations.end(self.now, RETURNING)
                } else {
                    evacuations.begin(self.now, RETURNING)
                }
            };
            if has_changed {
                node.tables.rebuild_upstreams(self.now);
            }
        }
        let herd_at = self.start + Duration::from_secs_f64(cold.herd.1);
        if cold.herd.0 > 0 && self.now >= herd_at {
            self.scenario.cold.as_mut().unwrap().herd.0 = 0;
            (0..cold.herd.0).for_each(|at| self.restart_cold(at, &cold));
        }
    }

    /// Applies the heartbeats that have arrived.
    pub(super) fn receive_heartbeats(&mut self) {
        let arrived = self.delayed.partition_point(|(arrives_at, ..)| *arrives_at <= self.now);
        for (_, to, report) in self.delayed.drain(..arrived) {
            let (receiver, name) = (&self.nodes[to].tables, format!("n{}", report.from));
            record_heartbeat(receiver, self.now, report.from, report.incarnation);
            receiver.balancer.lock().loads.merge_peer_loads(self.now, &name, &report.loads);
            receiver.apply_peer_limits(self.now, &name, &report.limits);
        }
    }

    /// Starts a node again, which learns from the entries how long the upstreams are cold.
    fn restart_cold(&mut self, at: usize, cold: &ColdReturn) {
        let incarnation = self.nodes[at].incarnation + 1;
        let node = new_node(&self.scenario, at, self.now, incarnation);
        let warm_at = self.start + Duration::from_secs_f64(cold.during.end);
        for upstream in 0..cold.upstreams {
            let mut directory = node.tables.directory.lock();
            let id = format!("p{upstream}");
            let mut instance = directory.get(&id).unwrap().clone();
            instance.cold_remaining = warm_at.saturating_duration_since(self.now);
            directory.insert(id, instance);
        }
        node.tables.rebuild_upstreams(self.now);
        self.nodes[at] = node;
        self.running.retain(|r| r.node != at);
    }

    /// Times of the requests to an upstream while it was cold.
    fn cold_sends(&self, upstream: usize) -> Vec<Duration> {
        let during = &self.scenario.cold.as_ref().unwrap().during;
        let sends = self.sends.iter().filter(|s| s.upstream == upstream).map(|s| s.at);
        sends.filter(|at| during.contains(&at.as_secs_f64())).collect()
    }

    /// Largest number of requests to a cold upstream in a second.
    pub fn most_in_second(&self) -> usize {
        let most = |upstream| {
            let times = self.cold_sends(upstream);
            let count = |(first, at): (usize, &Duration)| {
                times.partition_point(|t| *t < *at + SECOND) - first
            };
            times.iter().enumerate().map(count).max().unwrap_or(0)
        };
        (0..self.scenario.cold.as_ref().unwrap().upstreams).map(most).max().unwrap_or(0)
    }

    /// Share of the rates of the cold upstreams that was used.
    pub fn cold_share(&self) -> f64 {
        let cold = self.scenario.cold.as_ref().unwrap();
        let sends: usize = (0..cold.upstreams).map(|u| self.cold_sends(u).len()).sum();
        sends as f64 / (cold.rate * cold.upstreams as f64 * cold.duration().as_secs_f64())
    }
}
