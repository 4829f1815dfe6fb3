//! Runs one case of the review against the project's own nodes, on loopback addresses.
//!
//! Usage: `standin CASE REPOSITORY FOLDER`, where FOLDER gets the record. `TROUBLE=0` leaves out the
//! disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod behind;
mod client;
mod http;
mod json;
mod lookup;
mod loss;
mod node;
mod proxy;
mod record;
mod scene;
mod store;
mod storm;
mod worker;

use std::{env, path::PathBuf, process::exit, thread, time::Duration};

/// Time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(117);

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, case, root, folder] = args.as_slice() else {
        eprintln!("usage: standin CASE REPOSITORY FOLDER");
        exit(2);
    };
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        println!("verdict: the case took too long");
        node::kill_all();
        exit(2);
    });
    let verdict = match case.as_str() {
        "storm" => storm::run(&root, &folder, trouble),
        "lookup" => lookup::run(&root, &folder, trouble),
        "behind" => behind::run(&root, &folder, trouble),
        "loss" => loss::run(&root, &folder, trouble),
        _ => None,
    };
    println!(
        "verdict: {}",
        match verdict {
            Some(true) => "the rule held",
            Some(false) => "the rule was broken",
            None => "the case couldn't run",
        }
    );
    exit(match verdict {
        Some(true) => 0,
        Some(false) => 1,
        None => 2,
    });
}
