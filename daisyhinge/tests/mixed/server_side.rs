//! Backend servers: what they really work on, hold, announce and bear.

use std::sync::Arc;

use bytes::Bytes;
use daisyhinge::keeper::sub_request::DispatchOutcome;
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::announcement::{ReplicaAnnouncement, ReplicaDeparture, ServerState};
use rand::RngExt;

use crate::cluster::address_of;
use crate::world::{
    CENTRES, ENTRIES, EntryStart, Item, MS, ModelSnapshot, PRINT, Place, SEARCH, SEARCH_SERVERS,
    SECOND, SERVERS, SLOTS, SentRun, Server, Work, World,
};

/// What a backend server answers: it tells whose part it is and of what.
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
            left: false,
            bears: SLOTS,
            working: Vec::new(),
            leave_accepted: None,
        });
        self.hold(index, 1);
        self.push(0, None, Item::Announce(index));
    }

    pub fn find_server(&self, replica: &ReplicaName) -> usize {
        let named = |server: &Server| server.announcement.replica == *replica;
        self.servers.iter().position(named).expect("a server")
    }

    /// Cuts the next snapshot; servers take it over one by one.
    pub fn cut_snapshot(&mut self, shards: usize, at_once: bool) {
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
            self.push(delay, None, Item::Hold { server, snapshot });
        }
    }

    pub fn hold(&mut self, server: usize, number: u64) {
        let held = if server < SEARCH_SERVERS {
            self.snapshots[&number].held(number, server)
        } else {
            let snapshot = ModelSnapshot {
                generation: 1,
                weights: vec![7],
            };
            snapshot.held(number, 0)
        };
        let announcement = &mut self.servers[server].announcement;
        if announcement
            .snapshots
            .iter()
            .any(|known| known.snapshot == held.snapshot)
        {
            return;
        }
        let mut snapshots = vec![held];
        snapshots.extend(announcement.snapshots.iter().copied());
        snapshots.sort_by_key(|held| std::cmp::Reverse(held.snapshot));
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
            self.reply_from(server, run.by, attempt, end, None);
            return;
        }
        let row = &self.servers[server];
        let running = u32::try_from(row.working.len()).expect("a few") + 1;
        assert!(running <= SLOTS, "a backend server got more than its slots");
        if run.knew_cold && row.announcement.state == ServerState::Cold {
            self.counts.cold_arrivals += 1;
            let bears = row.announcement.cold_allowance;
            assert!(
                bears == 0 || running <= bears,
                "a cold server got more than it bears"
            );
        }
        let row = &self.servers[server];
        let holds = row
            .announcement
            .snapshots
            .iter()
            .any(|held| held.snapshot == run.info.snapshot && held.shard == run.info.shard);
        if running > row.bears {
            let retry = Self::span(0);
            self.reply_from(
                server,
                run.by,
                attempt,
                DispatchOutcome::Shed { retry },
                None,
            );
            return;
        }
        if !holds {
            self.reply_from(server, run.by, attempt, DispatchOutcome::NotHeld, None);
            return;
        }
        self.judge_run(&run);
        self.servers[server].working.push(Work { run });
        if self.judge_poison(&run) {
            self.crash_server(server);
            return;
        }
        let mut done = self.random.random_range(2 * MS..8 * MS);
        if self.chance(30) {
            done *= 20;
        }
        let drift = self.random.random_range(0..=1_000);
        let stops = run.left + run.left * drift / 1_000_000;
        let item = Item::Stop {
            server,
            attempt,
            answers: done < stops,
        };
        self.push(done.min(stops), None, item);
    }

    pub fn stop(&mut self, server: usize, attempt: AttemptId, answers: bool) {
        let working = &mut self.servers[server].working;
        let owned = |work: &Work| work.run.info.attempt == attempt;
        let Some(at) = working.iter().position(owned) else {
            return;
        };
        let run = working.swap_remove(at).run;
        if !answers {
            return;
        }
        let took = Self::span(self.now - run.sent);
        let calm = self.calm_since.is_some();
        let end = match self.random.random_range(0..400) {
            0 if !calm => DispatchOutcome::Reset,
            1 if !calm => DispatchOutcome::BadAnswer(ResultCode::AnswerMismatch),
            2..5 if !calm => DispatchOutcome::Failed,
            _ => DispatchOutcome::Answered { took },
        };
        let submission = self.dispatches[&attempt].submission;
        let body = part_body(submission, run.info.snapshot, run.info.shard);
        self.reply_from(server, run.by, attempt, end, Some(body));
    }

    fn reply_from(
        &mut self,
        server: usize,
        to: EntryStart,
        attempt: AttemptId,
        end: DispatchOutcome,
        body: Option<Bytes>,
    ) {
        let way = self.transit(Place::Server(server), Place::Entry(to.index));
        if let Some(delay) = way {
            self.push(delay, Some(to), Item::Ended { attempt, end, body });
        }
    }

    pub fn cancel_at_server(&mut self, by: EntryStart, server: usize, attempt: AttemptId) {
        let row = &mut self.servers[server];
        let before = row.working.len();
        row.working.retain(|work| work.run.info.attempt != attempt);
        // One that is not known may still be on its way.
        let stopped = row.up && row.working.len() < before;
        let replica = row.announcement.replica.clone();
        let way = self.transit(Place::Server(server), Place::Entry(by.index));
        if let Some(delay) = way {
            let item = Item::CancelEnded {
                replica,
                attempt,
                stopped,
            };
            self.push(delay, Some(by), item);
        }
    }

    pub fn announce(&mut self, index: usize) {
        let gap = self.random.random_range(400 * MS..500 * MS);
        self.push(gap, None, Item::Announce(index));
        if !self.servers[index].up {
            return;
        }
        let server = &mut self.servers[index];
        server.announcement.sequence += 1;
        let announcement = server.announcement.clone();
        let leave = server.left.then(|| ReplicaDeparture {
            replica: announcement.replica.clone(),
            incarnation: announcement.incarnation,
        });
        for _ in 0..2 {
            let entry = self.random.random_range(0..ENTRIES);
            let Some(mut delay) = self.transit(Place::Server(index), Place::Entry(entry)) else {
                continue;
            };
            if self.calm_since.is_none() && self.chance(20) {
                delay += self.random.random_range(0..5 * SECOND);
            }
            if let Some(leave) = leave.clone() {
                let server = index;
                self.push_at(delay, entry, Item::Left { leave, server });
            }
            self.push_at(delay, entry, Item::Announced(announcement.clone()));
        }
    }

    pub fn leave_server(&mut self, index: usize) {
        let server = &mut self.servers[index];
        if !server.up || server.left {
            return;
        }
        server.left = true;
        server.announcement.state = ServerState::Draining;
        self.push(8 * SECOND, None, Item::Restart(index));
    }

    pub fn crash_server(&mut self, index: usize) {
        if !self.servers[index].up {
            return;
        }
        self.counts.crashes += 1;
        self.servers[index].up = false;
        self.cut_work(index);
        let down = self.random.random_range(100 * MS..2 * SECOND);
        self.push(down, None, Item::Restart(index));
    }

    fn cut_work(&mut self, index: usize) {
        for work in std::mem::take(&mut self.servers[index].working) {
            let (to, attempt) = (work.run.by, work.run.info.attempt);
            self.reply_from(index, to, attempt, DispatchOutcome::Reset, None);
        }
    }

    pub fn restart(&mut self, index: usize) {
        let server = &self.servers[index];
        if server.up && !server.left {
            return;
        }
        self.cut_work(index);
        let silent = self.chance(300);
        let server = &mut self.servers[index];
        server.up = true;
        server.left = false;
        server.leave_accepted = None;
        server.announcement.incarnation.0 += 1;
        server.announcement.sequence = 0;
        server.announcement.state = if silent {
            ServerState::Ready
        } else {
            ServerState::Cold
        };
        server.bears = 1;
        let incarnation = server.announcement.incarnation;
        let span = self.random.random_range(500 * MS..4 * SECOND);
        let item = Item::TurnReady {
            server: index,
            incarnation,
        };
        self.push(span, None, item);
    }

    pub fn turn_ready(&mut self, index: usize, incarnation: IncarnationNumber) {
        let server = &mut self.servers[index];
        if server.announcement.incarnation == incarnation && !server.left {
            server.announcement.state = ServerState::Ready;
            server.bears = SLOTS;
        }
    }

    pub fn any_server(&mut self) -> usize {
        self.random.random_range(0..SERVERS)
    }
}
