//! Model of the keepers: drives each entry's keeper set as the shell does.

use bytes::Bytes;
use daisyhinge::crash::PoisonStatus;
use daisyhinge::keeper::keeper_set::{KeeperSetAction, KeeperSetEvent};
use daisyhinge::keeper::sub_request::{DispatchOutcome, SubRequestInfo, refusal_for};
use daisyhinge::keeper::{KeeperAction, KeeperEvent};
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::freshness::DISPATCH_GRACE;
use daisyhinge::vocabulary::subrequest::{SubAnswer, SubRefusal, SubReply, SubRequest};
use rand::RngExt;

use crate::servers::part_body;
use crate::world::{Endpoint, EntryStart, MS, SentRun, SimEvent, Waiter, World};

impl World {
    pub fn step_keeper_set(&mut self, index: usize, event: KeeperSetEvent) -> Option<ResultCode> {
        let mut actions = Vec::new();
        let entry = &mut self.entries[index];
        let local_time = entry.local_time(self.now);
        entry.keeper_set.step(local_time, event, &mut actions);
        let mut announced = None;
        for action in actions {
            match action {
                KeeperSetAction::Replica { replica, action } => self.apply(index, replica, &action),
                KeeperSetAction::Announced { code, .. } => announced = Some(code),
                KeeperSetAction::RecordEvent(_) => {}
            }
        }
        announced
    }

    fn step_replica(&mut self, index: usize, replica: ReplicaName, event: KeeperEvent) {
        self.step_keeper_set(index, KeeperSetEvent::Replica { replica, event });
    }

    /// Carries out a keeper's action for one replica.
    fn apply(&mut self, index: usize, replica: ReplicaName, action: &KeeperAction) {
        match *action {
            KeeperAction::Send(attempt) => {
                let delay = match self.random.random_range(0..100) {
                    0 => self.random.random_range(0..300 * MS),
                    _ => self.random.random_range(100..MS),
                };
                self.push_to(delay, index, SimEvent::Write(attempt));
            }
            KeeperAction::SendCancel(attempt) => self.send_cancel(index, replica, attempt),
            KeeperAction::Refuse { attempt, refusal } => {
                assert!(
                    !self.sent_attempts.contains(&attempt),
                    "refused though it was sent"
                );
                assert_eq!(refusal.run, RunState::NotRun);
                if let Some(waiter) = self.entries[index].waiters.remove(&attempt) {
                    self.answer_root(index, &waiter, Err(refusal));
                }
            }
            KeeperAction::Publish | KeeperAction::RecordEvent(_) => {}
        }
    }

    /// Accepts a sub-request from a root entry.
    pub fn accept_sub_request(
        &mut self,
        index: usize,
        from: EntryStart,
        search: u64,
        request: SubRequest,
    ) {
        let entry = &mut self.entries[index];
        let local_time = entry.local_time(self.now);
        let expires = local_time + Self::duration_from_micros(request.expires_us);
        let info = SubRequestInfo {
            attempt: request.attempt,
            digest: request.digest,
            snapshot: request.snapshot,
            shard: request.shard,
            expires: expires.min(entry.lease.expires_at() + DISPATCH_GRACE),
            repeatable: request.repeatable,
            hedge: request.hedge,
            suspect: request.suspect,
        };
        let replica = request.replica.clone();
        let waiter = Waiter {
            from,
            search,
            request,
            info,
            sending: false,
        };
        let previous = entry.waiters.insert(info.attempt, waiter);
        assert!(previous.is_none(), "an attempt was requested twice");
        self.step_keeper_set(index, KeeperSetEvent::Requested { replica, info });
    }

    pub fn drop_sub(&mut self, index: usize, replica: ReplicaName, attempt: AttemptId) {
        self.step_replica(index, replica, KeeperEvent::Dropped(attempt));
        let waiters = &mut self.entries[index].waiters;
        if waiters.get(&attempt).is_some_and(|waiter| !waiter.sending) {
            waiters.remove(&attempt);
        }
    }

    /// Makes the final check before dispatch, then sends the sub-request to its server.
    pub fn dispatch_sub_request(&mut self, index: usize, attempt: AttemptId) {
        let entry = &mut self.entries[index];
        let local_time = entry.local_time(self.now);
        let lease = entry.lease.holds(local_time);
        let Some(waiter) = entry.waiters.get_mut(&attempt) else {
            // The root dropped the sub-request after the keeper had decided to send it.
            let submission = self
                .dispatches
                .get(&attempt)
                .map(|dispatch| dispatch.submission);
            self.end_unsent(index, attempt, submission);
            return;
        };
        waiter.sending = true;
        let waiter = waiter.clone();
        let allowed = entry
            .keeper_set
            .final_check(local_time, &waiter.request.replica, &waiter.info)
            .is_none();
        let remaining = waiter.info.expires.since(local_time);
        if !lease || !allowed || remaining.is_zero() {
            self.counts.not_sent += 1;
            self.end_run(index, attempt, DispatchOutcome::NotSent, None);
            return;
        }
        let server = self.find_server(&waiter.request.replica);
        self.check_dispatch(index, server, &waiter);
        assert!(self.sent_attempts.insert(attempt), "sent twice");
        let known = self.entries[index].cold_servers.get(&server);
        let run = SentRun {
            server,
            info: waiter.info,
            keeper: self.start_of(index),
            remaining: u64::try_from(remaining.as_micros()).expect("fits in u64"),
            sent_at: self.now,
            keeper_knew_crash: self.entries[index]
                .keeper_set
                .crashes()
                .poison_status(local_time, waiter.info.digest)
                != PoisonStatus::Clear,
            keeper_knew_cold: known == Some(&self.servers[server].announcement.incarnation),
        };
        self.counts.dispatched += 1;
        if let Some(delay) = self.transit(Endpoint::Entry(index), Endpoint::Server(server)) {
            // Stays below the keeper's `TRANSIT_ALLOWANCE`: the keeper does not guarantee the slot
            // limit for a longer transit.
            self.push(delay.min(200 * MS), None, SimEvent::Arrive(run));
        }
        self.push_to(run.remaining, index, SimEvent::Expired(attempt));
        self.step_replica(
            index,
            waiter.request.replica.clone(),
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
            self.record_reset(waiter.info.digest);
        }
        let replica = waiter.request.replica.clone();
        let isolated = self.entries[index]
            .keeper_set
            .ran_isolated(&replica, attempt);
        let was_probe = isolated && !waiter.info.suspect;
        self.step_replica(index, replica.clone(), KeeperEvent::Ended { attempt, end });
        if self.chance(20) {
            self.step_replica(index, replica.clone(), KeeperEvent::Ended { attempt, end });
        }
        let load = self.entries[index].keeper_set.load(&replica);
        let crossed = self.faults_ended_at.is_none() && self.chance(3);
        let reply = match (end, body) {
            (DispatchOutcome::Answered { .. }, Some(_)) if crossed => {
                // The keeper's answer is replaced by an answer from another snapshot.
                let (shard, snapshot) = (waiter.request.shard, waiter.request.snapshot);
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
                shard: waiter.request.shard,
                snapshot: waiter.request.snapshot,
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
        let transit_delay = if to.index == index {
            Some(0)
        } else {
            self.transit(Endpoint::Entry(index), Endpoint::Entry(to.index))
        };
        let Some(delay) = transit_delay else { return };
        let event = SimEvent::SubReplied {
            search: waiter.search,
            attempt: waiter.info.attempt,
            reply,
        };
        if self.chance(10) {
            self.push(delay * 3, Some(to), event.clone());
        }
        self.push(delay, Some(to), event);
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
        let keeper = self.start_of(index);
        if let Some(delay) = self.transit(Endpoint::Entry(index), Endpoint::Server(server)) {
            let event = SimEvent::CancelArrive {
                keeper,
                server,
                attempt,
            };
            self.push(delay, None, event);
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
