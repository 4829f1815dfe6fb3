//! Workers run requests and their answers are lost; then all is well again.

use crate::{
    client::Kind,
    scene::{ONE_GROUP, Scene, ZONES, is_starved, number},
};
use std::{
    path::Path,
    thread::sleep,
    time::{Duration, Instant},
};

/// Answers of a hundred that are lost, and the time for which they are.
const LOST_PERCENT: u32 = 40;
const LOSS_TIME: Duration = Duration::from_millis(4_000);

pub fn run(root: &Path, folder: &Path, trouble: bool) -> Option<bool> {
    let scene = Scene::start(root, folder, 3, ONE_GROUP)?;
    let clients = &scene.clients;
    let pause = Duration::from_millis(200);
    let from = Instant::now();
    let mut running = Vec::new();
    for zone in ZONES {
        running.push(clients.users(zone, 2, Kind::Lookup, pause));
        running.push(clients.users(zone, 2, Kind::Booking, pause / 2));
        running.push(clients.users(zone, 1, Kind::Note, pause));
    }
    sleep(Duration::from_secs(3));
    let bookings: Vec<_> = scene.workers.iter().filter(|w| w.id().starts_with("i-res")).collect();
    for affected in [[0, 1], [1, 2], [2, 0]] {
        if trouble {
            scene.record.say(&format!("two of three workers lose answers: {affected:?}"));
            affected.iter().for_each(|i| bookings[*i].lose_answers(LOST_PERCENT));
        }
        sleep(LOSS_TIME);
        bookings.iter().for_each(|w| w.lose_answers(0));
        sleep(Duration::from_millis(500));
    }
    scene.report("until the last loss", from, Instant::now());
    let after = Instant::now();
    sleep(Duration::from_secs(number("SECONDS", 85) as u64));
    scene.report("after the last loss", after, Instant::now());
    let counts = scene.report("whole time", from, Instant::now());
    for users in running {
        users.stop();
    }
    Some(!is_starved(&counts))
}
