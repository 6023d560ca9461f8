//! The processes of a small deployment on loopback addresses, its operator, and the record of a run.

use std::fs::{self, File};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Message, call};

pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// `contact_ms` of the small deployments.
pub const CONTACT: Duration = Duration::from_millis(5_000);
/// `config_apply_ms` of the small deployments.
pub const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
/// Time in which a deployment must have started and serve.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Identifiers of the running processes that the case has started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes of a case that is given up.
pub fn end_all() {
    for id in STARTED.lock().unwrap().drain(..) {
        drop(
            Command::new("kill")
                .args(["-s", "KILL", &id.to_string()])
                .status(),
        );
    }
}

/// Reason why a case could not run; the program then exits with 2.
pub type Outcome<T> = Result<T, String>;

/// What was sent, answered and run, in the order of the events.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn open(path: &Path) -> Outcome<Self> {
        let file = File::create(path).map_err(|error| error.to_string())?;
        Ok(Self {
            file: Mutex::new(file),
            started: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        drop(writeln!(file, "{at:9.3} {text}"));
    }

    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// Ports, which are the same on all machines.
#[derive(Clone, Copy)]
struct Ports {
    control: u16,
    directory: u16,
    front: u16,
    readiness: u16,
    internal: u16,
}

#[derive(Clone, Copy, Eq, PartialEq)]
pub enum Role {
    Control,
    Entry,
}

/// A machine of the deployment.
#[derive(Clone)]
pub struct Machine {
    pub name: String,
    pub role: Role,
    pub zone: &'static str,
    ip: Ipv4Addr,
}

/// Zones and regions of the small deployments.
pub const ZONES: [(&str, &str); 3] = [
    ("lagos-ikeja", "lagos"),
    ("abuja-wuse", "abuja"),
    ("kano-nassarawa", "kano"),
];

/// A deployment. All its processes end when it is dropped.
pub struct World {
    pub record: Arc<Record>,
    program: PathBuf,
    root: PathBuf,
    folder: PathBuf,
    network: (u8, u8),
    ports: Ports,
    pub machines: Vec<Machine>,
    children: Mutex<Vec<(String, Child)>>,
    random: AtomicU64,
    /// Further fields of `bounds` in the settings, each with a comma before it.
    bounds: String,
}

impl World {
    /// Prepares five control and six entry machines in three zones; nothing is started yet.
    pub fn open(record: Arc<Record>, root: &Path, bounds: &str) -> Outcome<Self> {
        let program = root.join("target/release/daisyhinge-platform");
        if !program.is_file() {
            return Err("build the platform first".to_owned());
        }
        let nanos = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(1, |time| time.as_nanos() as u64);
        let seed = nanos ^ (u64::from(std::process::id()) << 32) | 1;
        let folder = std::env::temp_dir().join(format!("review-{seed:x}"));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut world = Self {
            record,
            program,
            root: root.to_owned(),
            folder,
            network: (0, 0),
            ports: Ports {
                control: 0,
                directory: 0,
                front: 0,
                readiness: 0,
                internal: 0,
            },
            machines: Vec::new(),
            children: Mutex::default(),
            random: AtomicU64::new(seed),
            bounds: bounds.to_owned(),
        };
        world.network = (
            20 + (world.random() % 200) as u8,
            1 + (world.random() % 250) as u8,
        );
        world.ports = world.find_ports()?;
        for (number, zone) in [0, 0, 1, 1, 2].into_iter().enumerate() {
            world.add(Role::Control, 1 + number as u8, ZONES[zone].0);
        }
        for (number, zone) in [0, 0, 1, 1, 1, 2].into_iter().enumerate() {
            world.add(Role::Entry, 21 + number as u8, ZONES[zone].0);
        }
        Ok(world)
    }

    fn add(&mut self, role: Role, number: u8, zone: &'static str) {
        let kind = match role {
            Role::Control => "core",
            Role::Entry => "frontend",
        };
        self.machines.push(Machine {
            name: format!("{kind}-{zone}-{number}"),
            role,
            zone,
            ip: self.ip(number),
        });
    }

    pub fn random(&self) -> u64 {
        let mut state = self.random.load(Ordering::Relaxed);
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        self.random.store(state, Ordering::Relaxed);
        state >> 3
    }

    pub fn ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network.0, self.network.1, number)
    }

    fn find_ports(&self) -> Outcome<Ports> {
        let free = |port: u16| TcpListener::bind((self.ip(1), port));
        for _ in 0..50 {
            let base = 20_000 + (self.random() % 10_000) as u16;
            let probes: Vec<_> = (0..20).map(|offset| free(base + offset)).collect();
            if probes.iter().all(Result::is_ok) {
                return Ok(Ports {
                    control: base,
                    directory: base + 1,
                    front: base + 2,
                    readiness: base + 3,
                    internal: base + 4,
                });
            }
        }
        Err("no free ports".to_owned())
    }

    /// A port at which a replica can listen on its own address.
    pub fn replica_port(&self) -> u16 {
        self.ports.front
    }

    pub fn of(&self, role: Role) -> Vec<Machine> {
        let machines = self.machines.iter().filter(|machine| machine.role == role);
        machines.cloned().collect()
    }

    pub fn operator_address(&self, machine: &Machine) -> SocketAddr {
        SocketAddr::from((machine.ip, self.ports.control))
    }

    pub fn directory_address(&self, machine: &Machine) -> SocketAddr {
        SocketAddr::from((machine.ip, self.ports.directory))
    }

    pub fn front_address(&self, machine: &Machine) -> SocketAddr {
        SocketAddr::from((machine.ip, self.ports.front))
    }

    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        let control = self.of(Role::Control);
        control
            .iter()
            .map(|machine| self.operator_address(machine))
            .collect()
    }

    fn settings(&self, machine: &Machine, bootstrap: bool) -> String {
        let Ports {
            control,
            directory,
            front,
            readiness,
            internal,
        } = self.ports;
        let ip = machine.ip;
        let (class, serves, listen, data) = match machine.role {
            Role::Control => (
                "core",
                r#""control_plane", "directory""#,
                format!(r#""control": "{ip}:{control}", "directory": "{ip}:{directory}""#),
                format!("{:?}", self.folder.join(&machine.name).to_string_lossy()),
            ),
            Role::Entry => (
                "frontend",
                r#""frontend""#,
                format!(r#""front": "{ip}:{front}", "readiness": "{ip}:{readiness}""#),
                "null".to_owned(),
            ),
        };
        let zones = ZONES.map(|(zone, region)| format!(r#""{zone}": "{region}""#));
        let region = ZONES.iter().find(|(zone, _)| *zone == machine.zone);
        let region = region.map_or("", |(_, region)| region);
        // As at the first start: one machine in each zone.
        let seeds = [1, 3, 5].map(|number| format!(r#""{}:{control}""#, self.ip(number)));
        format!(
            r#"{{"node_name": "{}", "role": "{}", "machine_class": "{class}", "serves": [{serves}],
"ip": "{ip}", "zone": "{}", "region": "{region}", "zones": {{{}}},
"bind_addresses": {{{listen}}}, "internal_ports": [{internal}, {}], "seeds": [{}],
"bootstrap": {bootstrap}, "in_tolerance": {}, "limits": {{"cpu_quota": 0.25, "cores": 1,
"memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 128}}, "data_dir": {data},
"discovery": "registration", "entry": "directory", "heartbeat_ms": 1200,
"contracts": ["base", "drain", "config", "cost", "retry", "recover", "scatter", "places"],
"fault_tolerance": {{"machines": 1, "zones": 1, "regions": 1}},
"bounds": {{"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 5000, "ack_ms": 6000, "catch_up_s": 4,
"drain_ms": 3000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 3000,
"downgrade_slack_ms": 250, "max_skew_ms": 15000, "retry_budget_ratio": 0.2, "budget_window_s": 10,
"budget_slack": 52, "warmup_overage": 1.5, "warmup_slack": 5, "evacuation_ms": 5000,
"recovery_s": 12, "ttl_max_s": 5{}}}, "config_mode": "highest"}}"#,
            machine.name,
            match machine.role {
                Role::Control => "control",
                Role::Entry => "entry",
            },
            machine.zone,
            zones.join(", "),
            internal + 15,
            seeds.join(", "),
            machine.role == Role::Control,
            self.bounds,
        )
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn start(&self, machine: &Machine, bootstrap: bool) -> Outcome<()> {
        let path = self.folder.join(format!("{}.json", machine.name));
        fs::write(&path, self.settings(machine, bootstrap)).map_err(|error| error.to_string())?;
        let log = self.folder.join(format!("{}.log", machine.name));
        let log = File::options().create(true).append(true).open(log);
        let log = log.map_err(|error| error.to_string())?;
        let role = match machine.role {
            Role::Control => "control",
            Role::Entry => "entry",
        };
        let child = Command::new(&self.program)
            .arg(role)
            .current_dir(&self.root)
            .env("DAISYHINGE_BOOT", &path)
            .stdin(Stdio::null())
            .stderr(log.try_clone().map_err(|error| error.to_string())?)
            .stdout(log)
            .spawn()
            .map_err(|error| error.to_string())?;
        STARTED.lock().unwrap().push(child.id());
        self.children
            .lock()
            .unwrap()
            .push((machine.name.clone(), child));
        Ok(())
    }

    pub fn start_all(&self) -> Outcome<()> {
        for machine in &self.machines {
            self.start(machine, true)?;
        }
        Ok(())
    }

    /// Returns the machines whose processes have ended.
    pub fn ended(&self) -> Vec<String> {
        let mut children = self.children.lock().unwrap();
        let ended = children.iter_mut().filter_map(|(name, child)| {
            let status = child.try_wait().ok().flatten()?;
            Some(format!("{name}: {status}"))
        });
        ended.collect()
    }

    /// Sends an order until it is acknowledged, as the operator does: at most a second for each call,
    /// then to another machine, with growing pauses.
    pub fn order(&self, method: &str, path: &str, body: &str, limit: Duration) -> Outcome<()> {
        let addresses = self.control_addresses();
        let until = Instant::now() + limit;
        let mut at = self.random() as usize;
        let mut pause = Duration::from_millis(50);
        while Instant::now() < until {
            let address = addresses[at % addresses.len()];
            at += 1;
            let answer = call(address, method, path, &[], body, Duration::from_secs(1));
            let status = answer.as_ref().map_or(0, Message::status);
            self.record
                .line(&format!("operator {method} {path} at {address}: {status}"));
            if (200..300).contains(&status) {
                return Ok(());
            }
            if [400, 409, 412, 413, 422].contains(&status) {
                return Err(format!("{method} {path} is refused with {status}"));
            }
            thread::sleep(pause);
            pause = (pause * 2).min(Duration::from_secs(1));
        }
        Err(format!("{method} {path} is not acknowledged"))
    }

    pub fn put_config(&self, config: &str) -> Outcome<()> {
        self.order("PUT", "/daisyhinge/config", config, START_LIMIT)
    }

    /// Asks the directory as a client in `zone` does.
    pub fn resolve(&self, host: &str, zone: &str) -> Vec<SocketAddr> {
        let region = ZONES.iter().find(|(known, _)| *known == zone);
        let region = region.map_or("", |(_, region)| region);
        let path = format!("/daisyhinge/resolve?name={host}&region={region}&zone={zone}");
        for machine in self.of(Role::Control) {
            let address = self.directory_address(&machine);
            let answer = call(address, "GET", &path, &[], "", Duration::from_secs(1));
            let Some(answer) = answer.filter(|answer| answer.status() == 200) else {
                continue;
            };
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let addresses: Vec<SocketAddr> = text
                .split('"')
                .filter_map(|part| part.parse().ok())
                .collect();
            if !addresses.is_empty() {
                return addresses;
            }
        }
        Vec::new()
    }

    /// Waits until a client in each zone gets a success at `path`.
    pub fn wait_for_service(
        &self,
        host: &str,
        path: &str,
        headers: &[(&str, &str)],
    ) -> Outcome<()> {
        let until = Instant::now() + START_LIMIT;
        for entry in self.of(Role::Entry) {
            loop {
                let id = format!("probe-{:x}", self.random());
                let mut all = vec![
                    ("Host", host),
                    ("Daisyhinge-Request-Id", id.as_str()),
                    ("Daisyhinge-Request-Deadline", "1000"),
                ];
                all.extend_from_slice(headers);
                let address = self.front_address(&entry);
                let answer = call(address, "GET", path, &all, "", Duration::from_secs(1));
                if answer.is_some_and(|answer| answer.status() == 200) {
                    break;
                }
                if Instant::now() > until {
                    return Err(format!("{} does not serve {path}", entry.name));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for (_, child) in self.children.lock().unwrap().iter_mut() {
            drop(child.kill());
            drop(child.wait());
            STARTED.lock().unwrap().retain(|id| *id != child.id());
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            drop(fs::remove_dir_all(&self.folder));
        } else {
            println!("logs: {}", self.folder.display());
        }
    }
}
