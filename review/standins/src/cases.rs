//! The cases: what is sent, what is disturbed, and the rule that is checked.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Build, Fleet, make_folder};
use crate::http::call;
use crate::replica::{CRASHING_PATH, Crash, ReplicaOrder, unix_ms};

/// `contact_ms` of the settings.
const CONTACT: Duration = Duration::from_millis(5_000);
/// Retries of a crashing request that may reach replicas, of the rule BUDGET.
const RETRIES_MAX: usize = 3;
const SERVICE: &str = "card-view";
const HOST: &str = "cards.example";
const REPLICAS: usize = 9;
/// Time between two tries of the crashing request.
const TRY_INTERVAL: Duration = Duration::from_millis(1_500);
/// Deadline of requests, as of `recipe-card`.
const DEADLINE_MS: u64 = 5_000;

/// Outcome of a case that could run.
pub enum Verdict {
    Held,
    Broken,
}

/// What a case does.
#[derive(Clone, Copy, Debug)]
pub struct CasePlan {
    /// When replicas crash.
    pub crash: Crash,
    /// How often all processes of the system are killed at the same moment.
    pub kills: u32,
    /// Time for which the crashing request comes again before the first kill, and after each.
    pub phase: Duration,
}

#[derive(Default)]
struct Record {
    lines: Mutex<Vec<(u128, String)>>,
}

impl Record {
    fn add(&self, text: String) {
        let mut lines = self.lines.lock().expect("no thread panics");
        lines.push((unix_ms(), text));
    }

    /// Writes all lines and the runs at replicas in the order of time.
    fn write(&self, folder: &Path, runs: &Path) -> Result<(), String> {
        let mut lines = self.lines.lock().expect("no thread panics").clone();
        for line in fs::read_to_string(runs).unwrap_or_default().lines() {
            if let Some((at, text)) = line.split_once(' ') {
                lines.push((at.parse().unwrap_or(0), text.to_owned()));
            }
        }
        lines.sort();
        let first = lines.first().map_or(0, |(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, text)| format!("{:8} ms  {text}\n", at - first))
            .collect();
        fs::write(folder.join("record.txt"), text).map_err(|error| error.to_string())
    }
}

/// Sends requests one after the other to the entries in turn until `stop` is set.
fn send_traffic(
    fleet: &Fleet,
    record: &Arc<Record>,
    stop: &Arc<AtomicBool>,
    served: &Arc<AtomicUsize>,
) {
    let fronts = fleet.fronts();
    for sender in 0..3 {
        let (fronts, record) = (fronts.clone(), Arc::clone(record));
        let (stop, served) = (Arc::clone(stop), Arc::clone(served));
        thread::spawn(move || {
            for number in 0.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let front = fronts[(number + sender) % fronts.len()];
                let path = format!("/card/usual-{sender}-{number}");
                let id = format!("{sender:04x}{number:012x}");
                let status = send_request(&record, front, &path, &id, false);
                served.fetch_add(usize::from(status == 200), Ordering::Relaxed);
                thread::sleep(Duration::from_millis(100));
            }
        });
    }
}

/// Sends one client attempt and records it; returns its status, 0 without an answer.
fn send_request(
    record: &Record,
    front: std::net::SocketAddr,
    path: &str,
    id: &str,
    detailed: bool,
) -> u16 {
    let headers = [
        ("Host", HOST.to_owned()),
        ("Daisyhinge-Request-Id", id.to_owned()),
        ("Daisyhinge-Request-Deadline", DEADLINE_MS.to_string()),
    ];
    record.add(format!("sent request={id} path={path} to={front}"));
    let limit = Duration::from_millis(DEADLINE_MS);
    let answer = call(front, &format!("GET {path}"), &headers, "", limit);
    let status = answer.as_ref().map_or(0, |answer| answer.status());
    let wait = answer
        .as_ref()
        .and_then(|answer| answer.header("retry-after"));
    let wait = wait.unwrap_or("-");
    let details = if detailed {
        format!(" retry_after={wait}")
    } else {
        String::new()
    };
    record.add(format!("answered request={id} status={status}{details}"));
    status
}

/// Returns a configuration with the usual route, its time-out as written in `timeout`, and `more`
/// routes.
fn config(version: u64, timeout: &str, more: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-card","host":"{HOST}","path_prefix":"/card/","route_type":"safe","timeout_ms":{timeout},"target_latency_ms":300,"priority":1,"service":"{SERVICE}","max_attempts":2,"allowed_regions":[]}}{more}],"services":[{{"name":"{SERVICE}","health_path":"/health","max_connections":96,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":0.0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

/// `config_apply_ms` of the settings.
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);

/// Upgrades the control processes, changes the configuration, and checks that it is in force at the
/// entries, which are not upgraded yet. Without `upgrade`, all processes run the present build. Writes
/// `record.txt` into `folder`.
pub fn run_upgrade(upgrade: bool, folder: &Path) -> Result<Verdict, String> {
    let work = make_folder(&std::env::temp_dir())?;
    let runs = work.join("runs");
    let record = Arc::<Record>::default();
    let build = if upgrade {
        Build::Former
    } else {
        Build::Present
    };
    record.add(format!("start of all processes, build: {build:?}"));
    let mut fleet = Fleet::start(work, build)?;
    fleet.configure(&config(7, "5000", ""), Duration::from_secs(15))?;
    add_replicas(&mut fleet, Crash::Never, &runs);
    fleet.wait_ready(Duration::from_secs(15))?;
    thread::sleep(CONTACT + Duration::from_secs(1));
    if upgrade {
        record.add("upgrade of the control processes begins".to_owned());
        fleet.upgrade_controls()?;
        record.add("all control processes run the present build".to_owned());
        thread::sleep(CONTACT + Duration::from_secs(1));
    }
    let more = format!(
        r#",{{"name":"r-added","host":"{HOST}","path_prefix":"/added/","route_type":"safe","timeout_ms":4000.0,"target_latency_ms":300,"priority":1,"service":"{SERVICE}","max_attempts":2,"allowed_regions":[]}}"#
    );
    let changed = config(8, "4000.0", &more);
    fleet.configure(&changed, Duration::from_secs(15))?;
    record.add("configuration 8 is acknowledged".to_owned());
    thread::sleep(CONFIG_APPLY + Duration::from_secs(1));
    let (mut served, mut not_found, mut others) = (0, 0, 0);
    for number in 0..60 {
        let fronts = fleet.fronts();
        let id = format!("{number:016x}");
        let path = format!("/added/{number}");
        match send_request(&record, fronts[number % fronts.len()], &path, &id, false) {
            200 => served += 1,
            404 => not_found += 1,
            _ => others += 1,
        }
        thread::sleep(Duration::from_millis(100));
    }
    let is_read_back = fleet.read_config().is_some_and(|text| text == changed);
    let ended = fleet.ended();
    record.add(format!(
        "added route: served={served} not_found={not_found} others={others} \
         read_back={is_read_back} ended_processes={ended:?}"
    ));
    record.write(folder, &runs)?;
    Ok(if not_found > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Times of the disruptions, in milliseconds since the Unix epoch.
#[derive(Default)]
struct Disruptions {
    /// Kill and start of all processes.
    events: Vec<u128>,
}

impl Disruptions {
    /// Whether all machines were in touch at a moment.
    fn in_touch(&self, at: u128) -> bool {
        let contact = CONTACT.as_millis();
        !self
            .events
            .iter()
            .any(|event| *event <= at && at < event + contact)
    }
}

/// Time for which the operator and the clients try while nothing is served.
const START_LIMIT: Duration = Duration::from_secs(75);

/// Loses the first control machine during the first start, and checks that requests are served in the
/// end. Writes `record.txt` into `folder`.
pub fn run_first_start(lost: bool, folder: &Path) -> Result<Verdict, String> {
    let work = make_folder(&std::env::temp_dir())?;
    let runs = work.join("runs");
    let record = Arc::<Record>::default();
    record.add(format!(
        "first start; the first control machine is lost: {lost}"
    ));
    let mut fleet = Fleet::start_staggered(work, lost)?;
    add_replicas(&mut fleet, Crash::Never, &runs);
    let until = Instant::now() + START_LIMIT;
    let stop = Arc::<AtomicBool>::default();
    let served = Arc::<AtomicUsize>::default();
    let sent = Arc::<AtomicUsize>::default();
    let traffic = {
        let (fronts, record) = (fleet.fronts(), Arc::clone(&record));
        let (stop, served, sent) = (Arc::clone(&stop), Arc::clone(&served), Arc::clone(&sent));
        thread::spawn(move || {
            // Traffic starts 10 s after the machines do.
            thread::sleep(Duration::from_secs(10));
            for number in 0_usize.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let front = fronts[number % fronts.len()];
                let path = format!("/card/usual-{number}");
                let id = format!("{number:016x}");
                let status = send_request(&record, front, &path, &id, false);
                sent.fetch_add(1, Ordering::Relaxed);
                served.fetch_add(usize::from(status == 200), Ordering::Relaxed);
                thread::sleep(Duration::from_millis(200));
            }
        })
    };
    let configured = fleet.configure(&config(7, "5000", ""), START_LIMIT);
    let outcome = match &configured {
        Ok(()) => "acknowledged".to_owned(),
        Err(text) => text.clone(),
    };
    record.add(format!("configuration: {outcome}"));
    while Instant::now() < until && served.load(Ordering::Relaxed) < 100 {
        thread::sleep(Duration::from_millis(100));
    }
    stop.store(true, Ordering::Relaxed);
    drop(traffic.join());
    let (sent, served) = (sent.load(Ordering::Relaxed), served.load(Ordering::Relaxed));
    let ended = fleet.ended();
    record.add(format!(
        "requests={sent} served={served} ended_processes={ended:?}"
    ));
    record.write(folder, &runs)?;
    Ok(if served == 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn add_replicas(fleet: &mut Fleet, crash: Crash, runs: &Path) {
    for number in 0..REPLICAS {
        let control = fleet.controls();
        fleet.add_replica(|address, zone| ReplicaOrder {
            id: format!("i-{number}"),
            service: SERVICE.to_owned(),
            address,
            zone,
            crash,
            runs: runs.display().to_string(),
            control,
        });
    }
}

/// Runs a case, and writes `record.txt` into `folder`.
pub fn run_case(plan: CasePlan, folder: &Path) -> Result<Verdict, String> {
    let work = make_folder(&std::env::temp_dir())?;
    let runs = work.join("runs");
    let record = Arc::<Record>::default();
    let outcome = play(plan, work, &runs, &record);
    let written = record.write(folder, &runs);
    let (fleet, disruptions, stop) = outcome?;
    stop.store(true, Ordering::Relaxed);
    let verdict = judge(&runs, &disruptions, plan.crash, &record)?;
    written?;
    record.write(folder, &runs)?;
    // Ends all processes and removes the temporary folder.
    drop(fleet);
    Ok(verdict)
}

fn play(
    plan: CasePlan,
    work: PathBuf,
    runs: &Path,
    record: &Arc<Record>,
) -> Result<(Fleet, Disruptions, Arc<AtomicBool>), String> {
    let mut fleet = Fleet::start(work, Build::Present)?;
    fleet.configure(&config(7, "5000", ""), Duration::from_secs(15))?;
    add_replicas(&mut fleet, plan.crash, runs);
    fleet.wait_ready(Duration::from_secs(15))?;
    let stop = Arc::<AtomicBool>::default();
    let served = Arc::<AtomicUsize>::default();
    send_traffic(&fleet, record, &stop, &served);
    // Until all machines have been in touch for long enough.
    thread::sleep(CONTACT + Duration::from_secs(1));
    if served.load(Ordering::Relaxed) < 100 {
        stop.store(true, Ordering::Relaxed);
        return Err("usual requests are not served".to_owned());
    }
    let mut disruptions = Disruptions::default();
    let mut number = 0;
    for turn in 0..=plan.kills {
        if turn > 0 {
            disruptions.events.push(unix_ms());
            record.add("kill of all control and entry processes".to_owned());
            fleet.kill_all()?;
            disruptions.events.push(unix_ms());
            record.add("start of all control and entry processes".to_owned());
            let until = Instant::now() + CONTACT + Duration::from_millis(1_500);
            while Instant::now() < until {
                fleet.tend_replicas();
                thread::sleep(Duration::from_millis(100));
            }
        }
        let until = Instant::now() + plan.phase;
        while Instant::now() < until {
            let fronts = fleet.fronts();
            let front = fronts[number % fronts.len()];
            let id = format!("c0de{number:012x}");
            number += 1;
            send_request(record, front, CRASHING_PATH, &id, true);
            let next = Instant::now() + TRY_INTERVAL;
            while Instant::now() < next {
                fleet.tend_replicas();
                thread::sleep(Duration::from_millis(50));
            }
        }
    }
    let ended = fleet.ended();
    if !ended.is_empty() {
        record.add(format!("processes that ended by themselves: {ended:?}"));
    }
    Ok((fleet, disruptions, stop))
}

/// Counts the client attempts of the crashing request that reached replicas later than `contact_ms`
/// after it had crashed the third one, while all machines were in touch.
fn judge(
    runs: &Path,
    disruptions: &Disruptions,
    crash: Crash,
    record: &Record,
) -> Result<Verdict, String> {
    let text = fs::read_to_string(runs).map_err(|error| error.to_string())?;
    let parse = |line: &str| {
        let (at, rest) = line.split_once(' ')?;
        let request = rest.split("request=").nth(1)?.split(' ').next()?;
        let crashes = rest.ends_with(&format!("path={CRASHING_PATH}"));
        crashes.then(|| Some((at.parse::<u128>().ok()?, request.to_owned())))?
    };
    let mut arrivals: Vec<(u128, String)> = text.lines().filter_map(parse).collect();
    arrivals.sort();
    if arrivals.is_empty() {
        return Err("the request reached no replica".to_owned());
    }
    if crash == Crash::Never {
        record.add(format!("crashes=0 runs={}", arrivals.len()));
        return Ok(Verdict::Held);
    }
    let Some(third) = arrivals.get(2).map(|(at, _)| *at) else {
        record.add(format!("crashes={}", arrivals.len()));
        return Ok(Verdict::Held);
    };
    let late = arrivals
        .iter()
        .filter(|(at, _)| *at > third + CONTACT.as_millis() && disruptions.in_touch(*at));
    let late: Vec<&(u128, String)> = late.collect();
    let retries: BTreeSet<&str> = late.iter().map(|(_, request)| request.as_str()).collect();
    record.add(format!(
        "crashes={} later_arrivals={} later_retries={} allowed={RETRIES_MAX}",
        arrivals.len(),
        late.len(),
        retries.len()
    ));
    Ok(if retries.len() > RETRIES_MAX {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
