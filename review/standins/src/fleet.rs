//! The processes of a small deployment: control and entry with the commands of the deploy file, and
//! replicas.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::call;
use crate::replica::{ReplicaOrder, unix_ms};

const PROGRAM: &str = "target/release/daisyhinge-platform";
/// The same of the build that `production` in the deploy file names.
const FORMER_PROGRAM: &str = "target/review/production/daisyhinge-platform";
const FRONT_PORT: u16 = 8_226;
const READINESS_PORT: u16 = 8_227;
const CONTROL_PORT: u16 = 8_224;
const DIRECTORY_PORT: u16 = 8_225;
const REPLICA_PORT: u16 = 8_080;
const ZONES: [(&str, &str); 3] = [
    ("lagos-ikeja", "lagos"),
    ("abuja-wuse", "abuja"),
    ("kano-nassarawa", "kano"),
];
/// Machines of each role, placed in the zones in turn.
const CONTROLS: u8 = 5;
const ENTRIES: u8 = 6;
/// Control machines that the settings name.
const SEEDS: u8 = 3;
/// Control machine that replaces the first one.
const REPLACEMENT: u8 = 9;
/// Time for which the first machine runs before the others start; 0.3 s are allowed.
const FIRST_LEAD: Duration = Duration::from_millis(200);
/// Time between the starts of two upgraded processes.
const UPGRADE_INTERVAL: Duration = Duration::from_secs(2);
/// Time between the loss of a machine and the start of its replacement.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(1);
/// Addresses that replicas may use in one run.
const REPLICA_HOSTS: u8 = 80;
/// First host numbers of entries and replicas.
const FIRST_ENTRY: u8 = 11;
const FIRST_REPLICA: u8 = 101;
/// Time between the kill of a process and its next start.
const RESTART_DELAY: Duration = Duration::from_millis(700);
/// Time after which a crashed replica is started again, with another id.
const REPLICA_RESTART: Duration = Duration::from_secs(2);

struct Machine {
    host: u8,
    child: Child,
}

/// Build that a process runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Build {
    Present,
    Former,
}

struct ReplicaSlot {
    order: ReplicaOrder,
    child: Child,
    starts: u32,
    ended_at: Option<Instant>,
    /// Silent former process, which still holds its connections.
    silent: Vec<Child>,
}

pub struct Fleet {
    folder: PathBuf,
    network: [u8; 2],
    machines: Vec<Machine>,
    replicas: Vec<ReplicaSlot>,
    /// Number of addresses that replicas have used.
    used_hosts: u8,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let machines = self.machines.iter_mut().map(|machine| &mut machine.child);
        let replicas = self.replicas.iter_mut();
        let replicas = replicas.flat_map(|slot| slot.silent.iter_mut().chain([&mut slot.child]));
        for child in machines.chain(replicas) {
            // It may have ended.
            drop(child.kill());
            drop(child.wait());
        }
        drop(fs::remove_dir_all(&self.folder));
    }
}

impl Fleet {
    /// Starts all control and entry processes at the same time, for the first time.
    pub fn start(folder: PathBuf, build: Build) -> Result<Self, String> {
        let network = find_network().ok_or("no free addresses")?;
        let mut fleet = Self {
            folder,
            network,
            machines: Vec::new(),
            replicas: Vec::new(),
            used_hosts: 0,
        };
        for host in hosts() {
            fleet.write_settings(host, true)?;
            let child = fleet.spawn_build(host, build)?;
            fleet.machines.push(Machine { host, child });
        }
        Ok(fleet)
    }

    /// Starts all processes for the first time, within 0.3 s of each other. The control machine that
    /// started first is lost for good before the others start; an empty one with its roles comes at
    /// another address. `lost` says whether that happens.
    pub fn start_staggered(folder: PathBuf, lost: bool) -> Result<Self, String> {
        let network = find_network().ok_or("no free addresses")?;
        let mut fleet = Self {
            folder,
            network,
            machines: Vec::new(),
            replicas: Vec::new(),
            used_hosts: 0,
        };
        let all: Vec<u8> = hosts().collect();
        for (position, host) in all.into_iter().enumerate() {
            fleet.write_settings(host, true)?;
            let child = fleet.spawn(host)?;
            fleet.machines.push(Machine { host, child });
            if position == 0 {
                std::thread::sleep(FIRST_LEAD);
                if lost {
                    let first = &mut fleet.machines[0].child;
                    first.kill().map_err(|error| error.to_string())?;
                    first.wait().map_err(|error| error.to_string())?;
                }
            }
        }
        if lost {
            std::thread::sleep(REPLACEMENT_DELAY);
            fleet.write_settings(REPLACEMENT, false)?;
            let child = fleet.spawn(REPLACEMENT)?;
            fleet.machines[0] = Machine {
                host: REPLACEMENT,
                child,
            };
        }
        Ok(fleet)
    }

    fn ip(&self, host: u8) -> IpAddr {
        let [second, third] = self.network;
        IpAddr::V4(Ipv4Addr::new(127, second, third, host))
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        let hosts = 1..=CONTROLS;
        hosts
            .map(|host| SocketAddr::new(self.ip(host), CONTROL_PORT))
            .collect()
    }

    pub fn fronts(&self) -> Vec<SocketAddr> {
        let hosts = FIRST_ENTRY..FIRST_ENTRY + ENTRIES;
        hosts
            .map(|host| SocketAddr::new(self.ip(host), FRONT_PORT))
            .collect()
    }

    fn write_settings(&self, host: u8, first: bool) -> Result<(), String> {
        let text = self.settings(host, first);
        let path = self.folder.join(format!("settings-{host}.json"));
        fs::write(path, text).map_err(|error| error.to_string())
    }

    fn settings(&self, host: u8, first: bool) -> String {
        let ip = self.ip(host);
        let is_control = is_control(host);
        let (zone, region) = zone_of(host);
        let at = |port| SocketAddr::new(ip, port).to_string();
        let (role, class, serves, binds, data, limits) = if is_control {
            let data = self.folder.join(format!("data-{host}"));
            (
                "control",
                "core",
                r#"["control_plane","directory"]"#,
                format!(
                    r#"{{"control":"{}","directory":"{}"}}"#,
                    at(CONTROL_PORT),
                    at(DIRECTORY_PORT)
                ),
                format!("\"{}\"", data.display()),
                r#"{"cpu_quota":0.15,"cores":1,"memory_mb":256,"max_fds":4096,"link_mbps":1000.0,"disk_mb":128}"#,
            )
        } else {
            (
                "entry",
                "frontend",
                r#"["frontend"]"#,
                format!(
                    r#"{{"front":"{}","readiness":"{}"}}"#,
                    at(FRONT_PORT),
                    at(READINESS_PORT)
                ),
                "null".to_owned(),
                r#"{"cpu_quota":0.25,"cores":1,"memory_mb":260,"max_fds":4100,"link_mbps":1000.0,"disk_mb":0}"#,
            )
        };
        // A machine that comes later is told the operator's list of that moment, without the lost one.
        let first_seed = if host == REPLACEMENT { 2 } else { 1 };
        let seeds: Vec<String> = (first_seed..first_seed + SEEDS)
            .map(|seed| format!("\"{}\"", SocketAddr::new(self.ip(seed), CONTROL_PORT)))
            .collect();
        let zones: Vec<String> = ZONES
            .iter()
            .map(|(zone, region)| format!("\"{zone}\":\"{region}\""))
            .collect();
        format!(
            r#"{{"node_name":"{class}-{zone}-{host}","role":"{role}","machine_class":"{class}",
"serves":{serves},"ip":"{ip}","zone":"{zone}","region":"{region}","zones":{{{}}},
"bind_addresses":{binds},"internal_ports":[7740,7755],"seeds":[{}],"bootstrap":{first},
"in_tolerance":{is_control},"limits":{limits},"data_dir":{data},"discovery":"registration",
"entry":"directory","heartbeat_ms":1200,
"contracts":["base","drain","config","cost","retry","recover","scatter","places"],
"fault_tolerance":{{"machines":1,"zones":1,"regions":1}},
"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":5000,"ack_ms":6000,"catch_up_s":4,
"drain_ms":3000,"grace_s":6,"loss_slack_ms":200,"config_apply_ms":3000,"downgrade_slack_ms":250,
"max_skew_ms":15000,"retry_budget_ratio":0.2,"budget_window_s":10,"budget_slack":52,
"warmup_overage":1.5,"warmup_slack":5,"evacuation_ms":5000,"recovery_s":12,"ttl_max_s":5}},
"config_mode":"highest"}}"#,
            zones.join(","),
            seeds.join(",")
        )
    }

    fn spawn(&self, host: u8) -> Result<Child, String> {
        self.spawn_build(host, Build::Present)
    }

    fn spawn_build(&self, host: u8, build: Build) -> Result<Child, String> {
        let program = match build {
            Build::Present => PROGRAM,
            Build::Former => FORMER_PROGRAM,
        };
        let role = if is_control(host) { "control" } else { "entry" };
        let log = File::options()
            .append(true)
            .create(true)
            .open(self.folder.join(format!("log-{host}")))
            .map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let mut command = Command::new(program);
        command.arg(role).env_clear();
        command.env(
            "DAISYHINGE_BOOT",
            self.folder.join(format!("settings-{host}.json")),
        );
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        command
            .spawn()
            .map_err(|error| format!("{program}: {error}"))
    }

    /// Kills all control and entry processes at the same moment and starts them again, with their disks.
    pub fn kill_all(&mut self) -> Result<(), String> {
        for machine in &mut self.machines {
            machine.child.kill().map_err(|error| error.to_string())?;
        }
        for machine in &mut self.machines {
            machine.child.wait().map_err(|error| error.to_string())?;
        }
        std::thread::sleep(RESTART_DELAY);
        for index in 0..self.machines.len() {
            let host = self.machines[index].host;
            self.write_settings(host, false)?;
            self.machines[index].child = self.spawn(host)?;
        }
        Ok(())
    }

    /// Stops the control processes one after the other, and starts each again with the present build.
    pub fn upgrade_controls(&mut self) -> Result<(), String> {
        for index in 0..self.machines.len() {
            let host = self.machines[index].host;
            if !is_control(host) {
                continue;
            }
            let id = self.machines[index].child.id().to_string();
            let told = Command::new("kill").args(["-TERM", &id]).status();
            told.map_err(|error| error.to_string())?;
            let ended = self.machines[index].child.wait();
            ended.map_err(|error| error.to_string())?;
            self.write_settings(host, false)?;
            self.machines[index].child = self.spawn(host)?;
            std::thread::sleep(UPGRADE_INTERVAL);
        }
        Ok(())
    }

    /// Returns the configuration as a control process reads it back.
    pub fn read_config(&self) -> Option<String> {
        let mut controls = self.controls().into_iter();
        controls.find_map(|address| {
            let host = [("Host", address.to_string())];
            let head = "GET /daisyhinge/config";
            let answer = call(address, head, &host, "", Duration::from_secs(1))?;
            (answer.status() == 200).then(|| String::from_utf8_lossy(&answer.body).into_owned())
        })
    }

    /// Returns the processes of daisyhinge that have ended by themselves.
    pub fn ended(&mut self) -> Vec<u8> {
        let machines = self.machines.iter_mut();
        let ended = machines.filter_map(|machine| {
            let status = machine.child.try_wait().ok().flatten();
            status.map(|_| machine.host)
        });
        ended.collect()
    }

    /// Starts a replica as the order says, at an address of its own.
    pub fn add_replica(&mut self, order: impl FnOnce(SocketAddr, String) -> ReplicaOrder) {
        let number = u8::try_from(self.replicas.len()).expect("few replicas");
        let host = FIRST_REPLICA + number;
        self.used_hosts += 1;
        let address = SocketAddr::new(self.ip(host), REPLICA_PORT);
        let zone = ZONES[usize::from(number) % ZONES.len()].0;
        let order = order(address, zone.to_owned());
        let child = spawn_replica(&order);
        self.replicas.push(ReplicaSlot {
            order,
            child,
            starts: 1,
            ended_at: None,
            silent: Vec::new(),
        });
    }

    /// Starts crashed replicas again after some seconds, with another id. One that has fallen silent
    /// comes back at another address.
    pub fn tend_replicas(&mut self) {
        let [second, third] = self.network;
        for slot in &mut self.replicas {
            let is_silent = Path::new(&slot.order.silent_mark()).exists();
            match slot.ended_at {
                None => {
                    if is_silent || matches!(slot.child.try_wait(), Ok(Some(_))) {
                        slot.ended_at = Some(Instant::now());
                    }
                }
                Some(at) if at.elapsed() >= REPLICA_RESTART => {
                    if is_silent && self.used_hosts < REPLICA_HOSTS {
                        let host = FIRST_REPLICA + self.used_hosts;
                        let ip = IpAddr::V4(Ipv4Addr::new(127, second, third, host));
                        self.used_hosts += 1;
                        slot.order.address = SocketAddr::new(ip, REPLICA_PORT);
                    }
                    slot.starts += 1;
                    let base = slot.order.id.split('.').next().unwrap_or("i").to_owned();
                    slot.order.id = format!("{base}.{}", slot.starts);
                    let next = spawn_replica(&slot.order);
                    let former = std::mem::replace(&mut slot.child, next);
                    slot.silent.push(former);
                    slot.ended_at = None;
                }
                Some(_) => {}
            }
        }
    }

    /// Sends a configuration until a control process acknowledges it.
    pub fn configure(&self, config: &str, limit: Duration) -> Result<(), String> {
        let started = Instant::now();
        let controls = self.controls();
        for turn in 0.. {
            let address = controls[turn % controls.len()];
            let host = [("Host", address.to_string())];
            let answer = call(
                address,
                "PUT /daisyhinge/config",
                &host,
                config,
                Duration::from_secs(1),
            );
            match answer.map(|answer| answer.status()) {
                Some(200) => return Ok(()),
                Some(status @ 400..500) => return Err(format!("configuration: {status}")),
                _ if started.elapsed() > limit => break,
                _ => std::thread::sleep(Duration::from_millis(200)),
            }
        }
        Err("no acknowledgement of the configuration".to_owned())
    }

    /// Waits until all entries are ready.
    pub fn wait_ready(&self, limit: Duration) -> Result<(), String> {
        let started = Instant::now();
        let is_ready = |front: &SocketAddr| {
            let address = SocketAddr::new(front.ip(), READINESS_PORT);
            let host = [("Host", address.to_string())];
            let answer = call(
                address,
                "GET /daisyhinge/ready",
                &host,
                "",
                Duration::from_secs(1),
            );
            answer.is_some_and(|answer| answer.status() == 200)
        };
        while !self.fronts().iter().all(is_ready) {
            if started.elapsed() > limit {
                return Err("not all entries are ready".to_owned());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }
}

fn hosts() -> impl Iterator<Item = u8> {
    (1..=CONTROLS).chain(FIRST_ENTRY..FIRST_ENTRY + ENTRIES)
}

fn is_control(host: u8) -> bool {
    host < FIRST_ENTRY
}

fn zone_of(host: u8) -> (&'static str, &'static str) {
    let position = match host {
        REPLACEMENT => 0,
        host if is_control(host) => host - 1,
        host => host - FIRST_ENTRY,
    };
    ZONES[usize::from(position) % ZONES.len()]
}

fn spawn_replica(order: &ReplicaOrder) -> Child {
    let program = std::env::current_exe().expect("the path of this program");
    let mut command = Command::new(program);
    command.args(order.to_words()).stdin(Stdio::null());
    command.spawn().expect("a replica starts")
}

/// Returns the middle of loopback addresses at which all ports are free.
fn find_network() -> Option<[u8; 2]> {
    let start = unix_ms() % 10_000 + u128::from(std::process::id());
    (0..200_u128).find_map(|turn| {
        let number = (start + turn * 7) % 20_000;
        let second = u8::try_from(100 + number / 200).ok()?;
        let third = u8::try_from(number % 200).ok()?;
        let ip = |host| IpAddr::V4(Ipv4Addr::new(127, second, third, host));
        let ports = [
            FRONT_PORT,
            READINESS_PORT,
            CONTROL_PORT,
            DIRECTORY_PORT,
            REPLICA_PORT,
            7_740,
            7_741,
            9_464,
        ];
        let replicas = FIRST_REPLICA..FIRST_REPLICA + REPLICA_HOSTS;
        let is_free = hosts().chain([REPLACEMENT]).chain(replicas).all(|host| {
            let mut ports = ports.iter();
            ports.all(|port| TcpListener::bind(SocketAddr::new(ip(host), *port)).is_ok())
        });
        is_free.then_some([second, third])
    })
}

/// Creates a temporary folder for one run.
pub fn make_folder(base: &Path) -> Result<PathBuf, String> {
    let folder = base.join(format!("review-{}-{}", std::process::id(), unix_ms()));
    fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
    Ok(folder)
}
