//! Stand-ins for replicas, clients and the platform, and the scripts of the review's cases.
//!
//! `review-standins case NAME FOLDER` runs a case on loopback addresses, and writes `record.txt` into
//! the folder. It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With
//! `TROUBLE=0` in the environment it leaves the disruption out.

mod cases;
mod fleet;
mod http;
mod replica;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use cases::{CasePlan, Verdict, run_case, run_first_start, run_upgrade};
use replica::{Crash, ReplicaOrder, run_replica};

const EXIT_BROKEN: u8 = 1;
const EXIT_UNABLE: u8 = 2;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let outcome = match words.split_first() {
        Some((word, rest)) if word == "replica" => match ReplicaOrder::from_words(rest) {
            Some(order) => run_replica(order)
                .map(|()| Verdict::Held)
                .map_err(|error| error.to_string()),
            None => Err("malformed order of a replica".to_owned()),
        },
        Some((word, [name, folder])) if word == "case" && name == "first-start" => {
            run_first_start(has_trouble(), Path::new(folder))
        }
        Some((word, [name, folder])) if word == "case" && name == "upgrade" => {
            run_upgrade(has_trouble(), Path::new(folder))
        }
        Some((word, [name, folder])) if word == "case" => find_plan(name)
            .ok_or_else(|| format!("no case {name}"))
            .and_then(|plan| run_case(plan, Path::new(folder))),
        _ => Err("usage: case NAME FOLDER".to_owned()),
    };
    match outcome {
        Ok(Verdict::Held) => {
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            println!("broken");
            ExitCode::from(EXIT_BROKEN)
        }
        Err(text) => {
            println!("could not run: {text}");
            ExitCode::from(EXIT_UNABLE)
        }
    }
}

/// Whether the case runs with its disruption.
fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn find_plan(name: &str) -> Option<CasePlan> {
    let has_trouble = has_trouble();
    let crash = match name {
        "crash-midway" => Crash::Midway,
        "crash-silent" => Crash::Silent,
        // Not a case: shows that the check can be met.
        "crash-early" => Crash::Early,
        // The kill of all processes is the disruption; the request crashes replicas in any case.
        "crash-restart" => {
            return Some(CasePlan {
                crash: Crash::Early,
                kills: if has_trouble { 2 } else { 0 },
                phase: Duration::from_secs(if has_trouble { 14 } else { 55 }),
            });
        }
        _ => return None,
    };
    Some(CasePlan {
        crash: if has_trouble { crash } else { Crash::Never },
        kills: 0,
        phase: Duration::from_secs(50),
    })
}
