//! Simulated entries: the shell around the state machines, and the dispatches that must not occur.

use super::*;

impl World {
    pub(super) fn step(&mut self, index: usize, event: KeeperSetEvent) -> Option<ResultCode> {
        let mut actions = Vec::new();
        let entry = &mut self.entries[index];
        let local = entry.local(self.now);
        entry.keepers.step(local, event, &mut actions);
        let mut reply = None;
        for action in actions {
            match action {
                KeeperSetAction::Replica { replica, action } => self.act(index, &replica, &action),
                KeeperSetAction::Announced { code, .. } => reply = Some(code),
                KeeperSetAction::RecordEvent(_) => {}
            }
        }
        reply
    }

    pub(super) fn step_replica(&mut self, index: usize, server: usize, event: KeeperEvent) {
        let replica = self.servers[server].announcement.replica.clone();
        self.step(index, KeeperSetEvent::Replica { replica, event });
    }

    pub(super) fn act(&mut self, index: usize, replica: &ReplicaName, action: &KeeperAction) {
        let named = |server: &Server| server.announcement.replica == *replica;
        let server = self.servers.iter().position(named).expect("a server");
        match *action {
            KeeperAction::Send(attempt) => {
                assert!(
                    self.pending.remove(&attempt).is_some(),
                    "sub-request sent or refused twice"
                );
                let delay = self.delay(300 * MS);
                self.push_to(delay, index, SimEvent::Write(attempt));
            }
            KeeperAction::Refuse { attempt, refusal } => {
                assert_eq!(refusal.run, RunState::NotRun);
                assert!(
                    !self.written.contains(&attempt),
                    "sub-request refused after it was sent"
                );
                assert!(
                    self.pending.remove(&attempt).is_some(),
                    "sub-request sent or refused twice"
                );
                self.entries[index].open_runs.remove(&attempt);
                self.counts.refused += 1;
                let poison = refusal.code == ResultCode::RequestPoisoned;
                self.counts.poison_refusals += u64::from(poison);
                self.counts.capped += u64::from(refusal.code == ResultCode::PowerCapReached);
            }
            KeeperAction::SendCancel(attempt) => {
                let start = self.entries[index].start;
                let delay = self.delay(100 * MS);
                self.push(
                    delay,
                    None,
                    SimEvent::CancelArrive {
                        entry: index,
                        start,
                        server,
                        attempt,
                    },
                );
            }
            KeeperAction::Publish | KeeperAction::RecordEvent(_) => {}
        }
    }

    pub(super) fn request(&mut self) {
        let gap = self.random.random_range(200..4 * MS);
        self.push(gap, None, SimEvent::Request);
        let server = self.random.random_range(0..self.servers.len());
        let root_view = self.pick_root_view();
        let name = self.servers[server].announcement.replica.clone();
        let keeper = find_keeper(&root_view, &ENVIRONMENT.into(), &CENTRE.into(), &name);
        let Some(vm) = keeper.map(|entry| entry.vm.clone()) else {
            return;
        };
        let index = self
            .entries
            .iter()
            .position(|entry| entry.vm == vm)
            .expect("an entry");
        if !self.entries[index].alive || self.entries[index].frozen_until > self.now {
            return;
        }
        self.counts.requested += 1;
        let number = self.counts.requested;
        let lifetime = self.random.random_range(10 * MS..400 * MS);
        let local = self.entries[index].local(self.now);
        let mut info = info(number, local + Duration::from_micros(lifetime));
        info.hedge = self.chance(10);
        info.digest = RequestDigest(1_000 + number % 50);
        if number.is_multiple_of(400) {
            info.digest = RequestDigest(number / 400 % POISON_DIGESTS);
        }
        self.pending
            .insert(info.attempt, (index, self.now + lifetime));
        let run = OpenRun {
            server,
            info,
            remaining: Duration::ZERO,
            sent: 0,
            knew_cold: false,
        };
        self.entries[index].open_runs.insert(info.attempt, run);
        if self.chance(10) {
            let delay = self.random.random_range(0..lifetime);
            self.push_to(delay, index, SimEvent::Drop(server, info.attempt));
        }
        self.step(
            index,
            KeeperSetEvent::Requested {
                replica: name,
                info,
            },
        );
    }

    /// Runs the shell's final check and dispatches the sub-request.
    pub(super) fn write(&mut self, index: usize, attempt: AttemptId) {
        let entry = &self.entries[index];
        let local = entry.local(self.now);
        let Some(run) = entry.open_runs.get(&attempt).copied() else {
            return;
        };
        let replica = self.servers[run.server].announcement.replica.clone();
        let refusal = entry.keepers.final_check(local, &replica, &run.info);
        if refusal.is_some() {
            self.counts.not_sent += 1;
            self.end(index, attempt, DispatchOutcome::NotSent);
            return;
        }
        self.check_write(index, run.server);
        assert!(self.written.insert(attempt), "sub-request written twice");
        let server = &self.servers[run.server];
        let known = self.entries[index].known_cold.get(&run.server);
        let run = OpenRun {
            remaining: run.info.expires.since(local),
            sent: self.now,
            knew_cold: known == Some(&server.announcement.incarnation),
            ..run
        };
        let entry = &mut self.entries[index];
        entry.open_runs.insert(attempt, run);
        let start = entry.start;
        let delay = self.delay(200 * MS);
        self.push(
            delay,
            None,
            SimEvent::Arrive {
                entry: index,
                start,
                run,
            },
        );
        let remaining_us = u64::try_from(run.remaining.as_micros()).expect("a short time");
        self.push_to(remaining_us, index, SimEvent::Timeout(attempt));
        self.step_replica(index, run.server, KeeperEvent::Written(attempt));
    }

    pub(super) fn check_write(&mut self, index: usize, server: usize) {
        let entry = &self.entries[index];
        let in_force = Arc::clone(entry.keepers.view().expect("a view"));
        let next = self
            .versions
            .iter()
            .find(|next| next.view.version > in_force.version);
        let lease = u64::try_from(LEASE_DURATION.as_micros()).expect("a short time");
        let lease = lease + lease / 500 + MS;
        assert!(
            next.is_none_or(|next| self.now <= next.committed + lease),
            "work sent under a view superseded longer than a lease ago"
        );
        let replica = &self.servers[server].announcement.replica;
        let document = &in_force.environments[&ENVIRONMENT.into()];
        let centre = document
            .find_centre(&CENTRE.into())
            .expect("the data centre");
        assert_eq!(
            centre.state,
            CentreState::In,
            "work sent to a data centre out of service"
        );
        let keeper = find_keeper(&in_force, &ENVIRONMENT.into(), &CENTRE.into(), replica);
        assert_eq!(keeper.map(|keeper| &keeper.vm), Some(&entry.vm));
        if let Some((incarnation, at)) = entry.left_replicas.get(&server) {
            let same = *incarnation == self.servers[server].announcement.incarnation;
            assert!(
                !same || self.now < at + 500 * MS,
                "work sent to a replica that left"
            );
        }
        let last = &mut self.servers[server].last;
        if let Some((former, version)) = *last
            && former != index
        {
            assert!(
                version < in_force.version,
                "two keepers of a replica at a time"
            );
            self.counts.keeper_changes += 1;
        }
        *last = Some((index, in_force.version));
    }

    pub(super) fn end(&mut self, index: usize, attempt: AttemptId, end: DispatchOutcome) {
        let Some(run) = self.entries[index].open_runs.remove(&attempt) else {
            return;
        };
        self.counts.answered += u64::from(matches!(end, DispatchOutcome::Answered { .. }));
        let event = KeeperEvent::Ended { attempt, end };
        self.step_replica(index, run.server, event.clone());
        if self.chance(5) {
            self.step_replica(index, run.server, event);
        }
    }

    pub(super) fn receive_announcement(&mut self, index: usize, announcement: ReplicaAnnouncement) {
        let named = |server: &Server| server.announcement.replica == announcement.replica;
        let server = self.servers.iter().position(named).expect("a server");
        let (state, incarnation) = (announcement.state, announcement.incarnation);
        let reply = self.step(index, KeeperSetEvent::Announced(announcement));
        if reply == Some(ResultCode::Ok) && state == ServerState::Cold {
            self.entries[index].known_cold.insert(server, incarnation);
        }
    }

    pub(super) fn share_crashes(&mut self, index: usize) {
        self.push_to(100 * MS, index, SimEvent::ShareCrashes);
        let entry = &self.entries[index];
        let table_request = TableRequest {
            table: 0,
            cursor: 0,
        };
        let delta = entry.keepers.delta(entry.local(self.now), table_request);
        let (vm, table) = (entry.vm.clone(), delta.table);
        for other in (0..3).filter(|other| *other != index) {
            let records = delta.crashes.clone();
            let delay = self.random.random_range(200..2 * MS);
            self.push_to(
                delay,
                other,
                SimEvent::Crashes {
                    vm: vm.clone(),
                    table,
                    records,
                },
            );
        }
    }

    pub(super) fn renew(&mut self, index: usize) {
        let gap = self.random.random_range(400 * MS..600 * MS);
        self.push_to(gap, index, SimEvent::Renew);
        if self.chance(5) || self.entries[index].partitioned_until > self.now {
            return;
        }
        let entry = &mut self.entries[index];
        entry.last_contact = self.now;
        let sent_at = entry.local(self.now);
        let record = crate::support::entry(entry.vm.as_str(), entry.start);
        let released = entry.keepers.is_released();
        let adopted = entry.keepers.view().map(|view| view.version);
        let listed = self
            .latest()
            .view
            .entries
            .iter()
            .find(|listed_record| listed_record.vm == record.vm)
            .cloned();
        match listed {
            None => self.commit(|view| view.entries.push(record)),
            Some(listed_record) if listed_record.incarnation != record.incarnation => {
                self.depart(index, false);
                self.commit(|view| view.entries.push(record));
            }
            Some(listed_record) if listed_record.state == EntryState::Leaving => {
                if released && adopted == Some(self.latest().view.version) {
                    self.depart(index, true);
                    self.entries[index].alive = false;
                    self.push(SECOND, None, SimEvent::Revive(index));
                    return;
                }
            }
            Some(_) => {}
        }
        let version = self.versions.len() - 1;
        let (age, delay) = (self.delay(500 * MS), self.delay(2 * SECOND));
        let age = age.min(self.now - self.versions[version].committed);
        let age = Duration::from_micros(age);
        self.push_to(
            delay,
            index,
            SimEvent::Proof {
                sent_at,
                version,
                age,
            },
        );
    }
}
