//! Model of the backend servers: running work, snapshots, announcements and capacity.

use std::sync::Arc;

use bytes::Bytes;
use daisyhinge::keeper::sub_request::DispatchOutcome;
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::announcement::{ReplicaAnnouncement, ReplicaDeparture, ServerState};
use rand::RngExt;

use crate::cluster::address_of;
use crate::world::{
    CENTRES, ENTRIES, Endpoint, EntryStart, MS, ModelSnapshot, PRINT, RunningSubRequest, SEARCH,
    SEARCH_SERVERS, SECOND, SERVERS, SLOTS, SentRun, Server, SimEvent, World,
};

/// Body of a backend server's answer, which states the submission, snapshot and shard.
pub fn part_body(request: u64, snapshot: SnapshotNumber, shard: ShardNumber) -> Bytes {
    Bytes::from(format!("\"{request}/{snapshot}/{shard}\""))
}

impl World {
    pub fn add_server(&mut self, index: usize) {
        let searches = index < SEARCH_SERVERS;
        let centre = if searches {
            index / 3
        } else {
            index - SEARCH_SERVERS
        };
        let announcement = ReplicaAnnouncement {
            replica: format!("replica-{index}").as_str().into(),
            service: if searches { SEARCH } else { PRINT }.into(),
            data_centre: CENTRES[centre].into(),
            address: address_of(300 + index),
            slots: SLOTS,
            connections: 25,
            state: ServerState::Ready,
            incarnation: IncarnationNumber(1),
            sequence: 0,
            cold_allowance: u32::from(index.is_multiple_of(2)),
            snapshots: Arc::from([]),
        };
        self.servers.push(Server {
            announcement,
            up: true,
            draining: false,
            capacity: SLOTS,
            working: Vec::new(),
            leave_accepted: None,
        });
        self.load_snapshot(index, 1);
        self.push(0, None, SimEvent::Announce(index));
    }

    pub fn find_server(&self, replica: &ReplicaName) -> usize {
        let has_name = |server: &Server| server.announcement.replica == *replica;
        self.servers
            .iter()
            .position(has_name)
            .expect("server exists")
    }

    /// Publishes the next snapshot. Unless `at_once` is set, the servers load it one after another.
    pub fn publish_snapshot(&mut self, shards: usize, at_once: bool) {
        let last = self.snapshots.last_key_value();
        let number = last.map_or(1, |(number, _)| number + 1);
        let generation = match last {
            Some((_, last)) if last.weights.len() == shards => last.generation,
            Some((_, last)) => last.generation + 1,
            None => 1,
        };
        let weights = (0..shards).map(|_| self.random.random_range(1..100));
        let snapshot = ModelSnapshot {
            generation,
            weights: weights.collect(),
        };
        self.snapshots.insert(number, snapshot);
        if at_once {
            return;
        }
        for server in 0..SEARCH_SERVERS {
            let delay = self.random.random_range(0..3 * SECOND);
            let snapshot = number;
            self.push(delay, None, SimEvent::LoadSnapshot { server, snapshot });
        }
    }

    pub fn load_snapshot(&mut self, server: usize, number: u64) {
        let replica_snapshot = if server < SEARCH_SERVERS {
            self.snapshots[&number].replica_snapshot(number, server)
        } else {
            let snapshot = ModelSnapshot {
                generation: 1,
                weights: vec![7],
            };
            snapshot.replica_snapshot(number, 0)
        };
        let announcement = &mut self.servers[server].announcement;
        if announcement
            .snapshots
            .iter()
            .any(|known| known.snapshot == replica_snapshot.snapshot)
        {
            return;
        }
        let mut snapshots = vec![replica_snapshot];
        snapshots.extend(announcement.snapshots.iter().copied());
        snapshots.sort_by_key(|replica_snapshot| std::cmp::Reverse(replica_snapshot.snapshot));
        snapshots.truncate(2);
        announcement.snapshots = snapshots.into();
    }

    pub fn arrive(&mut self, run: SentRun) {
        let (attempt, server) = (run.info.attempt, run.server);
        if !self.servers[server].up {
            let end = if self.chance(500) {
                DispatchOutcome::ConnectFailed
            } else {
                DispatchOutcome::Reset
            };
            self.reply_from(server, run.keeper, attempt, end, None);
            return;
        }
        let target = &self.servers[server];
        let running = u32::try_from(target.working.len()).expect("fits in u32") + 1;
        assert!(running <= SLOTS, "a backend server got more than its slots");
        if run.keeper_knew_cold && target.announcement.state == ServerState::Cold {
            self.counts.cold_arrivals += 1;
            let allowance = target.announcement.cold_allowance;
            assert!(
                allowance == 0 || running <= allowance,
                "a cold server got more than its cold allowance"
            );
        }
        let target = &self.servers[server];
        let has_snapshot = target
            .announcement
            .snapshots
            .iter()
            .any(|replica_snapshot| {
                replica_snapshot.snapshot == run.info.snapshot
                    && replica_snapshot.shard == run.info.shard
            });
        if running > target.capacity {
            let retry = Self::duration_from_micros(0);
            self.reply_from(
                server,
                run.keeper,
                attempt,
                DispatchOutcome::Shed { retry },
                None,
            );
            return;
        }
        if !has_snapshot {
            self.reply_from(server, run.keeper, attempt, DispatchOutcome::NotHeld, None);
            return;
        }
        self.check_run(&run);
        self.servers[server].working.push(RunningSubRequest { run });
        if self.record_poison_run(&run) {
            self.crash_server(server);
            return;
        }
        let mut done_after = self.random.random_range(2 * MS..8 * MS);
        if self.chance(30) {
            done_after *= 20;
        }
        let drift = self.random.random_range(0..=1_000);
        let expires_after = run.remaining + run.remaining * drift / 1_000_000;
        let event = SimEvent::Stop {
            server,
            attempt,
            answers: done_after < expires_after,
        };
        self.push(done_after.min(expires_after), None, event);
    }

    pub fn stop(&mut self, server: usize, attempt: AttemptId, answers: bool) {
        let working = &mut self.servers[server].working;
        let has_attempt = |work: &RunningSubRequest| work.run.info.attempt == attempt;
        let Some(at) = working.iter().position(has_attempt) else {
            return;
        };
        let run = working.swap_remove(at).run;
        if !answers {
            return;
        }
        let took = Self::duration_from_micros(self.now - run.sent_at);
        let faults_ended = self.faults_ended_at.is_some();
        let end = match self.random.random_range(0..400) {
            0 if !faults_ended => DispatchOutcome::Reset,
            1 if !faults_ended => DispatchOutcome::BadAnswer(ResultCode::AnswerMismatch),
            2..5 if !faults_ended => DispatchOutcome::Failed,
            _ => DispatchOutcome::Answered { took },
        };
        let submission = self.dispatches[&attempt].submission;
        let body = part_body(submission, run.info.snapshot, run.info.shard);
        self.reply_from(server, run.keeper, attempt, end, Some(body));
    }

    fn reply_from(
        &mut self,
        server: usize,
        to: EntryStart,
        attempt: AttemptId,
        end: DispatchOutcome,
        body: Option<Bytes>,
    ) {
        let transit_delay = self.transit(Endpoint::Server(server), Endpoint::Entry(to.index));
        if let Some(delay) = transit_delay {
            self.push(delay, Some(to), SimEvent::Ended { attempt, end, body });
        }
    }

    pub fn cancel_at_server(&mut self, keeper: EntryStart, server: usize, attempt: AttemptId) {
        let target = &mut self.servers[server];
        let before = target.working.len();
        target
            .working
            .retain(|work| work.run.info.attempt != attempt);
        // An unknown attempt may still be in transit.
        let stopped = target.up && target.working.len() < before;
        let replica = target.announcement.replica.clone();
        let transit_delay = self.transit(Endpoint::Server(server), Endpoint::Entry(keeper.index));
        if let Some(delay) = transit_delay {
            let event = SimEvent::CancelEnded {
                replica,
                attempt,
                stopped,
            };
            self.push(delay, Some(keeper), event);
        }
    }

    pub fn announce(&mut self, index: usize) {
        let interval = self.random.random_range(400 * MS..500 * MS);
        self.push(interval, None, SimEvent::Announce(index));
        if !self.servers[index].up {
            return;
        }
        let server = &mut self.servers[index];
        server.announcement.sequence += 1;
        let announcement = server.announcement.clone();
        let departure = server.draining.then(|| ReplicaDeparture {
            replica: announcement.replica.clone(),
            incarnation: announcement.incarnation,
        });
        for _ in 0..2 {
            let entry = self.random.random_range(0..ENTRIES);
            let Some(mut delay) = self.transit(Endpoint::Server(index), Endpoint::Entry(entry))
            else {
                continue;
            };
            if self.faults_ended_at.is_none() && self.chance(20) {
                delay += self.random.random_range(0..5 * SECOND);
            }
            if let Some(departure) = departure.clone() {
                let server = index;
                self.push_to(delay, entry, SimEvent::Left { departure, server });
            }
            self.push_to(delay, entry, SimEvent::Announced(announcement.clone()));
        }
    }

    pub fn leave_server(&mut self, index: usize) {
        let server = &mut self.servers[index];
        if !server.up || server.draining {
            return;
        }
        server.draining = true;
        server.announcement.state = ServerState::Draining;
        self.push(8 * SECOND, None, SimEvent::Restart(index));
    }

    pub fn crash_server(&mut self, index: usize) {
        if !self.servers[index].up {
            return;
        }
        self.counts.crashes += 1;
        self.servers[index].up = false;
        self.abort_work(index);
        let down = self.random.random_range(100 * MS..2 * SECOND);
        self.push(down, None, SimEvent::Restart(index));
    }

    fn abort_work(&mut self, index: usize) {
        for work in std::mem::take(&mut self.servers[index].working) {
            let (to, attempt) = (work.run.keeper, work.run.info.attempt);
            self.reply_from(index, to, attempt, DispatchOutcome::Reset, None);
        }
    }

    pub fn restart(&mut self, index: usize) {
        let server = &self.servers[index];
        if server.up && !server.draining {
            return;
        }
        self.abort_work(index);
        let announces_ready = self.chance(300);
        let server = &mut self.servers[index];
        server.up = true;
        server.draining = false;
        server.leave_accepted = None;
        server.announcement.incarnation.0 += 1;
        server.announcement.sequence = 0;
        server.announcement.state = if announces_ready {
            ServerState::Ready
        } else {
            ServerState::Cold
        };
        server.capacity = 1;
        let incarnation = server.announcement.incarnation;
        let warm_up = self.random.random_range(500 * MS..4 * SECOND);
        let event = SimEvent::MarkReady {
            server: index,
            incarnation,
        };
        self.push(warm_up, None, event);
    }

    pub fn mark_ready(&mut self, index: usize, incarnation: IncarnationNumber) {
        let server = &mut self.servers[index];
        if server.announcement.incarnation == incarnation && !server.draining {
            server.announcement.state = ServerState::Ready;
            server.capacity = SLOTS;
        }
    }

    pub fn random_server(&mut self) -> usize {
        self.random.random_range(0..SERVERS)
    }
}
