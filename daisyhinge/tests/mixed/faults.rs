//! Fault injection. Faults overlap: new ones start before earlier ones have ended.

use rand::RngExt;

use crate::control_calls::CONTROL_VMS;
use crate::world::{ENTRIES, Endpoint, MS, SECOND, SERVERS, SimEvent, World};

impl World {
    pub fn inject_fault(&mut self) {
        if self.faults_ended_at.is_some() {
            return;
        }
        let interval = self.random.random_range(50 * MS..1_500 * MS);
        self.push(interval, None, SimEvent::InjectFault);
        self.counts.faults += 1;
        let entry = self.random.random_range(0..ENTRIES);
        let server = self.random_server();
        match self.random.random_range(0..15) {
            0 if self.entries[entry].alive => self.kill(entry),
            1 if self.entries[entry].alive => {
                self.entries[entry].frozen_until =
                    self.now + self.random.random_range(0..9 * SECOND);
            }
            2 | 3 => self.partition_pair(),
            4 => self.isolate_entry(entry),
            5 => self.crash_control(),
            6 => {
                let node = self.random.random_range(0..CONTROL_VMS);
                self.cluster.vms[node].frozen_until =
                    self.cluster.now + self.random.random_range(0..3 * SECOND);
            }
            7 if self.cluster.is_recovered() => {
                let node = self.random.random_range(0..CONTROL_VMS);
                self.cluster.lose_disk(node);
                let down = self.random.random_range(100 * MS..2 * SECOND);
                self.push(down, None, SimEvent::StartControl(node));
            }
            8 => self.crash_server(server),
            9 => self.servers[server].capacity = 1,
            10 => self.leave_server(server),
            11 => self.publish_snapshot(3, false),
            12 => {
                let shards = self.random.random_range(1..4);
                self.publish_snapshot(shards, false);
            }
            13 => self.leave_entry(entry),
            14 => self.isolate_control(),
            _ => {}
        }
    }

    fn random_endpoint(&mut self) -> Endpoint {
        match self.random.random_range(0..3) {
            0 => Endpoint::Control(self.random.random_range(0..CONTROL_VMS)),
            1 => Endpoint::Entry(self.random.random_range(0..ENTRIES)),
            _ => Endpoint::Server(self.random.random_range(0..SERVERS)),
        }
    }

    fn partition_link(&mut self, from: Endpoint, to: Endpoint, duration: u64) {
        self.partitions.insert((from, to));
        self.push(duration, None, SimEvent::Heal(from, to));
    }

    fn partition_pair(&mut self) {
        let (from, to) = (self.random_endpoint(), self.random_endpoint());
        let duration = self.random.random_range(100 * MS..8 * SECOND);
        self.partition_link(from, to, duration);
        if self.chance(700) {
            self.partition_link(to, from, duration);
        }
    }

    /// Partitions an entry from all control VMs.
    fn isolate_entry(&mut self, index: usize) {
        let duration = self.random.random_range(SECOND..8 * SECOND);
        for node in 0..CONTROL_VMS {
            self.partition_link(Endpoint::Control(node), Endpoint::Entry(index), duration);
            if self.chance(500) {
                self.partition_link(Endpoint::Entry(index), Endpoint::Control(node), duration);
            }
        }
    }

    /// Partitions a control VM from the other control VMs, but not from entries, or heals all
    /// such partitions.
    fn isolate_control(&mut self) {
        if self.chance(500) {
            self.cluster.partitioned_links.clear();
            return;
        }
        let node = self.random.random_range(0..CONTROL_VMS);
        for other in 0..CONTROL_VMS {
            self.cluster.partitioned_links.insert((node, other));
            self.cluster.partitioned_links.insert((other, node));
        }
    }

    fn crash_control(&mut self) {
        let node = self.random.random_range(0..CONTROL_VMS);
        if self.cluster.vms[node].core.is_some() {
            self.cluster.crash(node);
            let down = self.random.random_range(100 * MS..4 * SECOND);
            self.push(down, None, SimEvent::StartControl(node));
        }
    }

    pub fn start_control(&mut self, node: usize) {
        if self.cluster.vms[node].core.is_some() {
            return;
        }
        self.cluster.start(node);
        if self.cluster.vms[node].core.is_none() {
            self.push(200 * MS, None, SimEvent::StartControl(node));
        }
    }

    /// Starts a graceful leave. The entry starts again some time after it has stopped.
    fn leave_entry(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        if entry.alive && !entry.leaving {
            entry.leaving = true;
            entry.leaving_since = self.now;
        }
    }

    /// Ends all faults; none is injected afterwards.
    pub fn end_faults(&mut self) {
        self.faults_ended_at = Some(self.now);
        self.cluster.fault_free = true;
        self.cluster.partitioned_links.clear();
        self.partitions.clear();
        for node in 0..self.cluster.vms.len() {
            self.cluster.vms[node].frozen_until = 0;
            self.start_control(node);
        }
        for server in 0..SERVERS {
            let incarnation = self.servers[server].announcement.incarnation;
            if self.servers[server].up && !self.servers[server].draining {
                self.mark_ready(server, incarnation);
            }
        }
    }
}
