//! A node is cut off from the store while configurations follow each other, and comes back.

use crate::{
    http::Connection,
    node::Machine,
    scene::{Engines, Scene, configuration, number},
};
use std::{
    path::Path,
    thread::sleep,
    time::{Duration, Instant},
};

const ENGINES: Engines = Engines {
    count: 2,
    group_size: 2,
    stream: Duration::from_millis(200),
    memory_mb: 260,
    link_mbps: 20.0,
};

/// Routes that the configuration grows by.
const MORE_ROUTES: usize = 1_456;

/// Configurations of one storm, and the time between them.
const STORM: usize = 12;
const GAP: Duration = Duration::from_millis(330);

const CUT: Duration = Duration::from_secs(12);

/// Requests that the rule allows a node to handle as an older version does, once it is in touch.
const STALE_ANSWERS: usize = 3;

pub fn run(root: &Path, folder: &Path, trouble: bool) -> Option<bool> {
    let scene = Scene::start(root, folder, 3, ENGINES)?;
    let text = |version, has_old| configuration(version, ENGINES.group_size, MORE_ROUTES, has_old);
    scene.record.say(&format!("configuration 10 of {} bytes", text(10, true).len()));
    scene.store.put("config", "main", &text(10, true));
    sleep(Duration::from_secs(6));
    let behind = scene.nodes.len() - 1;
    let cut_at = Instant::now();
    if trouble {
        scene.record.say(&format!("{} is cut off from the store", scene.nodes[behind].name));
        scene.links[behind].cut(true);
    }
    let (changes, start) = (number("CHANGES", 3 * STORM), Instant::now());
    for change in 1..=changes {
        sleep((start + GAP * change as u32).saturating_duration_since(Instant::now()));
        let version = 10 + 2 * change as u64;
        scene.store.put("config", "main", &text(version, change < changes));
        scene.record.line(&format!("configuration {version} acknowledged"));
    }
    let acknowledged_at = Instant::now();
    scene.record.say("the last configuration, without the route /old/, is acknowledged");
    sleep((cut_at + CUT).saturating_duration_since(Instant::now()));
    scene.links[behind].cut(false);
    let healed_at = Instant::now();
    scene.record.say("the link is whole again");
    let machine = Machine { memory_mb: ENGINES.memory_mb, link_mbps: ENGINES.link_mbps };
    let (apply, stable) = machine.bounds_ms();
    let bound = (healed_at + Duration::from_millis(stable))
        .max(acknowledged_at + Duration::from_millis(apply));
    let mut stale = vec![0; scene.nodes.len()];
    let mut last = vec![0; scene.nodes.len()];
    while healed_at.elapsed() < Duration::from_secs(25) {
        for index in 0..scene.nodes.len() {
            let sent_at = Instant::now();
            let status = look(&scene, index);
            if status != last[index] {
                last[index] = status;
                let name = &scene.nodes[index].name;
                let ms = healed_at.elapsed().as_millis();
                scene
                    .record
                    .say(&format!("{ms} ms after that, {name} answers /old/ with {status}"));
            }
            stale[index] += usize::from(sent_at > bound && status == 200);
        }
        sleep(Duration::from_millis(100));
    }
    scene.record.say(&format!("requests run on the dropped route by nodes in touch: {stale:?}"));
    Some(stale.iter().all(|count| *count < STALE_ANSWERS))
}

/// Status with which a node answers a request on the route that was dropped; 0 if it doesn't.
fn look(scene: &Scene, index: usize) -> u16 {
    let timeout = Duration::from_secs(1);
    let id = scene.clients.next_id();
    scene.record.line(&format!("send id={id} path=/old/x node={index}"));
    let headers = [
        ("Host", "ford.example"),
        ("X-Attempt-Id", id.as_str()),
        ("X-Deadline-Ms", "1000"),
        ("X-Key", "key-1"),
    ];
    let answer = Connection::open(scene.nodes[index].frontend, timeout)
        .and_then(|mut c| c.call("GET", "/old/x", &headers, b"", timeout));
    let status = answer.map_or(0, |response| response.status);
    scene.record.line(&format!("answer id={id} node={index} status={status}"));
    status
}
