//! What may import what, and how long a file may be.

use std::fs;
use std::path::{Path, PathBuf};

/// Lines of a source file at most.
const LINES_MAX: usize = 400;

/// Longer files, each with its reason.
const LONGER: [(&str, &str); 5] = [
    (
        "tests/control_schedules/cluster.rs",
        "shared by two runs; to be split by disk and network",
    ),
    (
        "tests/control_voter.rs",
        "one scenario for each rule of the voter",
    ),
    (
        "tests/keeper_set.rs",
        "one scenario for each rule of the roster",
    ),
    (
        "tests/operator.rs",
        "one scenario for each operator command",
    ),
    (
        "tests/keeper/world.rs",
        "the model's types and its queue; to be split",
    ),
];

/// Files outside the shell that hold a lock, each with its reason.
const LOCKING: [(&str, &str); 1] = [(
    "metric/service.rs",
    "a table of metric handles that worker threads share; it decides nothing",
)];

/// What decision modules and the vocabulary never name.
const BARRED: [&str; 9] = [
    "tokio",
    "hyper::",
    "hyper_util",
    "tarpc",
    "parking_lot",
    "std::net::Tcp",
    "std::thread",
    "Instant",
    "SystemTime",
];

fn list_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() && !path.ends_with("target") {
            list_sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Lines of code of a file, without comments.
fn code_lines(text: &str) -> impl Iterator<Item = &str> {
    let trimmed = text.lines().map(str::trim_start);
    trimmed.filter(|line| !line.starts_with("//"))
}

#[test]
fn decisions_do_no_input_and_output() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut sources = Vec::new();
    list_sources(&root, &mut sources);
    assert!(sources.len() > 100);
    let mut faults = Vec::new();
    for path in sources {
        let place = path.strip_prefix(&root).expect("a source").to_owned();
        if place.starts_with("shell") || place == Path::new("shell.rs") {
            continue;
        }
        let text = fs::read_to_string(&path).expect("a text");
        for line in code_lines(&text) {
            let may_lock = LOCKING.iter().any(|(name, _)| Path::new(name) == place);
            let barred = BARRED
                .iter()
                .filter(|name| !may_lock || **name != "parking_lot")
                .any(|name| line.contains(name));
            let shell = line.contains("crate::shell");
            let upwards = place.starts_with("vocabulary")
                && line.contains("crate::")
                && !line.contains("crate::vocabulary")
                && !line.contains("crate::prelude");
            if barred || shell || upwards {
                faults.push(format!("{}: {line}", place.display()));
            }
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

#[test]
fn files_stay_short() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut sources = Vec::new();
    for folder in ["src", "tests", "benches"] {
        list_sources(&root.join(folder), &mut sources);
    }
    let mut long = Vec::new();
    for path in sources {
        let lines = fs::read_to_string(&path).expect("a text").lines().count();
        let place = path.strip_prefix(root).expect("a source");
        let is_listed = LONGER.iter().any(|(name, _)| Path::new(name) == place);
        if lines > LINES_MAX && !is_listed {
            long.push(format!("{}: {lines} lines", place.display()));
        }
    }
    assert!(long.is_empty(), "{}", long.join("\n"));
}
