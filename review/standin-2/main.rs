//! Stand-ins of the second review, and the cases that they play: `standin CASE RECORD`.
//!
//! Exits with 1 if a rule was broken, 0 if it held, and 2 if the case could not run.

mod client;
mod crowd;
mod engine;
mod gone;
mod http;
mod json;
mod memory;
mod node;
mod plain;
mod record;
mod regroup;
mod removal;
mod store;

use {
    node::{Limits, Node, free_ips},
    record::Record,
    std::{
        env, fs,
        path::{Path, PathBuf},
        process, thread,
        time::Duration,
    },
    store::Store,
};

/// What a case has shown.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

/// Store, addresses and settings of one run.
pub struct Scene {
    pub record: Record,
    pub store: Store,
    pub directory: PathBuf,
    pub ips: Vec<String>,
    pub has_trouble: bool,
}

impl Scene {
    pub fn spawn_node(&self, name: &str, ip: &str, limits: &Limits) -> Node {
        let node = Node::spawn(&self.directory, name, ip, &self.store.address, limits);
        self.record.line(&format!("node {name} started at {ip}, process {}", node.pid()));
        node
    }
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, record] = &arguments[..] else {
        eprintln!("usage: standin CASE RECORD");
        process::exit(2);
    };
    let record = Record::open(Path::new(record));
    let directory = env::temp_dir().join(format!("review-{case}-{}", process::id()));
    fs::create_dir_all(&directory).expect("a temporary folder");
    let ips = free_ips(4);
    let store = Store::open(&ips[0]);
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    record.tell(&format!("case {case}, trouble {has_trouble}"));
    let scene =
        Scene { record: record.clone(), store, directory: directory.clone(), ips, has_trouble };
    let watchdog = record.clone();
    let case = case.clone();
    let playing = thread::spawn(move || match case.as_str() {
        "crowd" => crowd::play(&scene),
        "gone" => gone::play(&scene),
        "regroup" => regroup::play(&scene),
        "removal" => removal::play(&scene),
        "memory" => memory::play(&scene),
        _ => Verdict::CouldNotRun("no such case".to_owned()),
    });
    let mut waited = Duration::ZERO;
    while !playing.is_finished() && waited < Duration::from_secs(110) {
        thread::sleep(Duration::from_millis(50));
        waited += Duration::from_millis(50);
    }
    let verdict = if playing.is_finished() {
        playing.join().unwrap_or_else(|_| Verdict::CouldNotRun("the stand-in failed".to_owned()))
    } else {
        Verdict::CouldNotRun("it took too long".to_owned())
    };
    let code = match verdict {
        Verdict::Held => {
            watchdog.tell("the rule held");
            0
        }
        Verdict::Broken => {
            watchdog.tell("THE RULE WAS BROKEN");
            1
        }
        Verdict::CouldNotRun(why) => {
            watchdog.tell(&format!("the case could not run: {why}"));
            2
        }
    };
    node::end_all();
    if env::var_os("KEEP").is_none() {
        let _ = fs::remove_dir_all(&directory);
    }
    process::exit(code);
}
