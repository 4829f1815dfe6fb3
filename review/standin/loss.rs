//! All nodes but one are lost for good.

use crate::{
    client::Kind,
    scene::{Engines, NO_LIMIT, Scene, ZONES, is_starved, number},
};
use std::{
    path::Path,
    thread::sleep,
    time::{Duration, Instant},
};

const ENGINES: Engines = Engines {
    count: 2,
    group_size: 2,
    stream: Duration::from_millis(1_500),
    memory_mb: 260,
    link_mbps: NO_LIMIT,
};

pub fn run(root: &Path, folder: &Path, trouble: bool) -> Option<bool> {
    let mut scene = Scene::start(root, folder, 3, ENGINES)?;
    let clients = scene.clients.clone();
    let pause = Duration::from_millis(50);
    let from = Instant::now();
    let users = number("USERS", 20);
    let mut running = vec![
        clients.users(ZONES[1], users / 2, Kind::Note, pause),
        clients.users(ZONES[2], users / 2, Kind::Note, pause),
    ];
    for zone in ZONES {
        running.push(clients.users(zone, 2, Kind::Booking, pause));
        running.push(clients.users(zone, 1, Kind::Lookup, pause));
    }
    sleep(Duration::from_secs(8));
    scene.report("before", from, Instant::now());
    if trouble {
        scene.record.say("the nodes of two zones are lost");
        scene.nodes.truncate(1);
    }
    sleep(Duration::from_secs(5));
    let after = Instant::now();
    while from.elapsed() < Duration::from_secs(number("SECONDS", 75) as u64) {
        sleep(Duration::from_secs(10));
        let loads: Vec<_> = scene.workers.iter().map(|w| w.load().0).collect();
        scene.record.say(&format!("requests running at each worker: {loads:?}"));
    }
    scene.report("after", after, Instant::now());
    let counts = scene.report("whole time", from, Instant::now());
    for users in running {
        users.stop();
    }
    Some(!is_starved(&counts))
}
