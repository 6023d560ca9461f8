//! Keepers: the fake around the roster, as the shell drives it.

use bytes::Bytes;
use daisyhinge::keeper::crash::PoisonStatus;
use daisyhinge::keeper::keeper_set::{KeeperSetAction, KeeperSetEvent};
use daisyhinge::keeper::sub_request::{DispatchOutcome, SubRequestInfo, refusal_for};
use daisyhinge::keeper::{KeeperAction, KeeperEvent};
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::freshness::DISPATCH_GRACE;
use daisyhinge::vocabulary::subrequest::{SubAnswer, SubRefusal, SubReply, SubRequest};
use rand::RngExt;

use crate::server_side::part_body;
use crate::world::{EntryStart, Item, MS, Place, SentRun, Waiter, World};

impl World {
    pub fn step_roster(&mut self, index: usize, event: KeeperSetEvent) -> Option<ResultCode> {
        let mut actions = Vec::new();
        let entry = &mut self.entries[index];
        let local = entry.local(self.now);
        entry.keeper_set.step(local, event, &mut actions);
        let mut announced = None;
        for action in actions {
            match action {
                KeeperSetAction::Replica { replica, action } => self.act(index, replica, &action),
                KeeperSetAction::Announced { code, .. } => announced = Some(code),
                KeeperSetAction::Note(_) => {}
            }
        }
        announced
    }

    fn step_replica(&mut self, index: usize, replica: ReplicaName, event: KeeperEvent) {
        self.step_roster(index, KeeperSetEvent::Replica { replica, event });
    }

    fn act(&mut self, index: usize, replica: ReplicaName, action: &KeeperAction) {
        match *action {
            KeeperAction::Send(attempt) => {
                let delay = match self.random.random_range(0..100) {
                    0 => self.random.random_range(0..300 * MS),
                    _ => self.random.random_range(100..MS),
                };
                self.push_at(delay, index, Item::Write(attempt));
            }
            KeeperAction::SendCancel(attempt) => self.send_cancel(index, replica, attempt),
            KeeperAction::Refuse { attempt, refusal } => {
                assert!(
                    !self.written.contains(&attempt),
                    "refused though it was sent"
                );
                assert_eq!(refusal.run, RunState::NotRun);
                if let Some(waiter) = self.entries[index].waiters.remove(&attempt) {
                    self.answer_root(index, &waiter, Err(refusal));
                }
            }
            KeeperAction::Publish | KeeperAction::Note(_) => {}
        }
    }

    /// Takes a sub-request from a root entry.
    pub fn run_sub(&mut self, index: usize, from: EntryStart, search: u64, ask: SubRequest) {
        let entry = &mut self.entries[index];
        let local = entry.local(self.now);
        let expires = local + Self::span(ask.expires_us);
        let info = SubRequestInfo {
            attempt: ask.attempt,
            digest: ask.digest,
            snapshot: ask.snapshot,
            shard: ask.shard,
            expires: expires.min(entry.lease.ends() + DISPATCH_GRACE),
            repeatable: ask.repeatable,
            hedge: ask.hedge,
            suspect: ask.suspect,
        };
        let replica = ask.replica.clone();
        let waiter = Waiter {
            from,
            search,
            ask,
            info,
            sending: false,
        };
        let former = entry.waiters.insert(info.attempt, waiter);
        assert!(former.is_none(), "an attempt was asked for twice");
        self.step_roster(index, KeeperSetEvent::Requested { replica, info });
    }

    pub fn drop_sub(&mut self, index: usize, replica: ReplicaName, attempt: AttemptId) {
        self.step_replica(index, replica, KeeperEvent::Dropped(attempt));
        let waiters = &mut self.entries[index].waiters;
        if waiters.get(&attempt).is_some_and(|waiter| !waiter.sending) {
            waiters.remove(&attempt);
        }
    }

    /// The last look, and the dispatch.
    pub fn write(&mut self, index: usize, attempt: AttemptId) {
        let entry = &mut self.entries[index];
        let local = entry.local(self.now);
        let lease = entry.lease.holds(local);
        let Some(waiter) = entry.waiters.get_mut(&attempt) else {
            // The root dropped it between the decision and now.
            let server = self
                .dispatches
                .get(&attempt)
                .map(|dispatch| dispatch.submission);
            self.end_unsent(index, attempt, server);
            return;
        };
        waiter.sending = true;
        let waiter = waiter.clone();
        let open = entry
            .keeper_set
            .final_check(local, &waiter.ask.replica, &waiter.info)
            .is_none();
        let left = waiter.info.expires.since(local);
        if !lease || !open || left.is_zero() {
            self.counts.not_sent += 1;
            self.end_run(index, attempt, DispatchOutcome::NotSent, None);
            return;
        }
        let server = self.find_server(&waiter.ask.replica);
        self.judge_write(index, server, &waiter);
        assert!(self.written.insert(attempt), "sent twice");
        let known = self.entries[index].knows_cold.get(&server);
        let run = SentRun {
            server,
            info: waiter.info,
            by: self.start_of(index),
            left: u64::try_from(left.as_micros()).expect("a short time"),
            sent: self.now,
            knew_crash: self.entries[index]
                .keeper_set
                .crashes()
                .poison_status(local, waiter.info.digest)
                != PoisonStatus::Clear,
            knew_cold: known == Some(&self.servers[server].announcement.incarnation),
        };
        self.counts.dispatched += 1;
        if let Some(delay) = self.transit(Place::Entry(index), Place::Server(server)) {
            // What comes later than the allowance for transit is not the keeper's fault.
            self.push(delay.min(200 * MS), None, Item::Arrive(run));
        }
        self.push_at(run.left, index, Item::Expired(attempt));
        self.step_replica(
            index,
            waiter.ask.replica.clone(),
            KeeperEvent::Written(attempt),
        );
    }

    fn end_unsent(&mut self, index: usize, attempt: AttemptId, submission: Option<u64>) {
        let service = submission.map(|number| self.submissions[&number].service.clone());
        let replicas: Vec<_> = self
            .servers
            .iter()
            .filter(|server| Some(&server.announcement.service) == service.as_ref())
            .map(|server| server.announcement.replica.clone())
            .collect();
        let end = DispatchOutcome::NotSent;
        for replica in replicas {
            self.step_replica(index, replica, KeeperEvent::Ended { attempt, end });
        }
    }

    pub fn expire(&mut self, index: usize, attempt: AttemptId) {
        if self.entries[index].waiters.contains_key(&attempt) {
            self.end_run(index, attempt, DispatchOutcome::Expired, None);
        }
    }

    pub fn end_run(
        &mut self,
        index: usize,
        attempt: AttemptId,
        end: DispatchOutcome,
        body: Option<Bytes>,
    ) {
        let Some(waiter) = self.entries[index].waiters.remove(&attempt) else {
            return;
        };
        if end == DispatchOutcome::Reset {
            self.learn_of_reset(waiter.info.digest);
        }
        let replica = waiter.ask.replica.clone();
        let alone = self.entries[index]
            .keeper_set
            .ran_isolated(&replica, attempt);
        let was_probe = alone && !waiter.info.suspect;
        self.step_replica(index, replica.clone(), KeeperEvent::Ended { attempt, end });
        if self.chance(20) {
            self.step_replica(index, replica.clone(), KeeperEvent::Ended { attempt, end });
        }
        let load = self.entries[index].keeper_set.load(&replica);
        let crossed = self.calm_since.is_none() && self.chance(3);
        let reply = match (end, body) {
            (DispatchOutcome::Answered { .. }, Some(_)) if crossed => {
                // An answer that crossed with one from another snapshot.
                let (shard, snapshot) = (waiter.ask.shard, waiter.ask.snapshot);
                let snapshot = SnapshotNumber(snapshot.0 + 1);
                let submission = self.dispatches[&attempt].submission;
                Ok(SubAnswer {
                    shard,
                    snapshot,
                    body: part_body(submission, snapshot, shard),
                    load,
                })
            }
            (DispatchOutcome::Answered { .. }, Some(body)) => Ok(SubAnswer {
                shard: waiter.ask.shard,
                snapshot: waiter.ask.snapshot,
                body,
                load,
            }),
            (end, _) => Err(SubRefusal {
                load,
                ..refusal_for(end, was_probe)
            }),
        };
        self.answer_root(index, &waiter, reply);
    }

    fn answer_root(&mut self, index: usize, waiter: &Waiter, reply: SubReply) {
        let to = waiter.from;
        let way = if to.index == index {
            Some(0)
        } else {
            self.transit(Place::Entry(index), Place::Entry(to.index))
        };
        let Some(delay) = way else { return };
        let item = Item::SubReplied {
            search: waiter.search,
            attempt: waiter.info.attempt,
            reply,
        };
        if self.chance(10) {
            self.push(delay * 3, Some(to), item.clone());
        }
        self.push(delay, Some(to), item);
    }

    fn send_cancel(&mut self, index: usize, replica: ReplicaName, attempt: AttemptId) {
        let server = self.find_server(&replica);
        // The connection of the dispatch is closed first.
        if let Some(waiter) = self.entries[index].waiters.remove(&attempt) {
            let end = DispatchOutcome::Expired;
            self.step_replica(index, replica, KeeperEvent::Ended { attempt, end });
            let refusal = SubRefusal::with_run(ResultCode::Cancelled, RunState::Unknown);
            self.answer_root(index, &waiter, Err(refusal));
        }
        let by = self.start_of(index);
        if let Some(delay) = self.transit(Place::Entry(index), Place::Server(server)) {
            let item = Item::CancelArrive {
                by,
                server,
                attempt,
            };
            self.push(delay, None, item);
        }
    }

    pub fn end_cancel(
        &mut self,
        index: usize,
        replica: ReplicaName,
        attempt: AttemptId,
        stopped: bool,
    ) {
        self.step_replica(
            index,
            replica,
            KeeperEvent::CancelEnded { attempt, stopped },
        );
    }
}
