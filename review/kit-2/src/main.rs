//! Cases of the second review. Each starts the platform's programs on loopback addresses and judges
//! what clients, replicas and the operator see.

mod client;
mod cold;
mod extra;
mod http;
mod keys;
mod left;
mod replica;
mod shared;
mod world;
mod writer;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use world::{Outcome, Record};

/// Time after which a case is given up; its processes have ended before 120 s.
const TIME_LIMIT: Duration = Duration::from_secs(112);

/// What a case needs.
pub struct Setup {
    pub record: Arc<Record>,
    /// Folder of the repository.
    pub root: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-cases CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let record = match Record::open(&folder.join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(text) => {
            eprintln!("{text}");
            return ExitCode::from(2);
        }
    };
    let Some(root) = folder.ancestors().nth(2).map(PathBuf::from) else {
        return ExitCode::from(2);
    };
    let setup = Setup {
        record: Arc::clone(&record),
        root,
        trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    let run: fn(&Setup) -> Outcome<bool> = match case.as_str() {
        "keys" => keys::run,
        "left" => left::run,
        "extra" => extra::run,
        "cold" => cold::run,
        "writer" => writer::run,
        _ => return ExitCode::from(2),
    };
    let (done, result) = std::sync::mpsc::channel();
    std::thread::spawn(move || drop(done.send(run(&setup))));
    match result.recv_timeout(TIME_LIMIT) {
        Ok(Ok(true)) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Ok(false)) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Ok(Err(text)) => {
            record.say(&format!("the case could not run: {text}"));
            ExitCode::from(2)
        }
        Err(_) => {
            record.say("the case took too long");
            world::end_all();
            ExitCode::from(2)
        }
    }
}
