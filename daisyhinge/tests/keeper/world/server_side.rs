//! Simulated backend servers and their actual work.

use super::*;

impl World {
    pub(super) fn arrive(&mut self, index: usize, start: u64, run: OpenRun) {
        let attempt = run.info.attempt;
        let to = Some((index, start));
        if !self.servers[run.server].up {
            let end = if self.chance(50) {
                DispatchOutcome::ConnectFailed
            } else {
                DispatchOutcome::Reset
            };
            self.push(MS, to, SimEvent::Ended(attempt, end));
            return;
        }
        let drift = self.random.random_range(0..=1_000);
        let (answer_delay, slow) = (self.random.random_range(2 * MS..8 * MS), self.chance(5));
        let server = &mut self.servers[run.server];
        let running = u32::try_from(server.working.len()).expect("a few") + 1;
        assert!(
            running <= SLOTS,
            "running sub-requests exceed the slots of a server"
        );
        if run.knew_cold && server.announcement.state == ServerState::Cold {
            self.counts.cold_arrivals += 1;
            let capacity = server.announcement.cold_allowance.max(1);
            let strict = server.announcement.cold_allowance > 0;
            assert!(
                !strict || running <= capacity,
                "running sub-requests exceed the cold allowance of a server"
            );
        }
        if running > server.capacity {
            let shed = DispatchOutcome::Shed {
                retry: Duration::ZERO,
            };
            self.push(MS, to, SimEvent::Ended(attempt, shed));
            return;
        }
        server.working.push(RunningWork {
            attempt,
            entry: index,
            start,
            sent: run.sent,
        });
        self.check_power();
        if run.info.digest.0 < POISON_DIGESTS {
            let count = self.crashed.entry(run.info.digest.0).or_default();
            *count += 1;
            assert!(
                self.entry_faults || *count <= 2,
                "a request crashed more than two servers"
            );
            self.crash(run.server);
            return;
        }
        let remaining_us = u64::try_from(run.remaining.as_micros()).expect("a short time");
        let stops_after = remaining_us + remaining_us * drift / 1_000_000;
        let answers_after = if slow {
            answer_delay * 20
        } else {
            answer_delay
        };
        let sim_event = SimEvent::Stop {
            server: run.server,
            attempt,
            answers: answers_after < stops_after,
        };
        self.push(answers_after.min(stops_after), None, sim_event);
    }

    pub(super) fn check_power(&self) {
        let window =
            u64::try_from(handover_duration().as_micros()).expect("a few seconds") + SECOND;
        let mut cap = Some(0);
        for (index, version) in self.versions.iter().enumerate() {
            let superseded = self.versions.get(index + 1).map(|next| next.committed);
            if superseded.is_none_or(|superseded| self.now < superseded + window) {
                let document = &version.view.environments[&ENVIRONMENT.into()];
                let centre = document
                    .find_centre(&CENTRE.into())
                    .expect("the data centre");
                cap = cap
                    .zip(centre.power_cap)
                    .map(|(first, second)| first.max(second));
            }
        }
        let running: usize = self.servers.iter().map(|server| server.working.len()).sum();
        assert!(
            cap.is_none_or(|cap| running <= cap as usize),
            "running sub-requests exceed the power cap"
        );
    }

    pub(super) fn stop(&mut self, server: usize, attempt: AttemptId, answers: bool) {
        let working = &mut self.servers[server].working;
        let Some(position) = working.iter().position(|work| work.attempt == attempt) else {
            return;
        };
        let work = working.swap_remove(position);
        if !answers {
            return;
        }
        let took = Duration::from_micros(self.now - work.sent);
        let end = match self.random.random_range(0..400) {
            0 => DispatchOutcome::Reset,
            1 => DispatchOutcome::BadAnswer(ResultCode::AnswerMismatch),
            2..5 => DispatchOutcome::Failed,
            _ => DispatchOutcome::Answered { took },
        };
        let delay = self.delay(400 * MS);
        self.push(
            delay,
            Some((work.entry, work.start)),
            SimEvent::Ended(attempt, end),
        );
        if self.chance(5) {
            // A late duplicate of an outcome must not free another slot.
            self.push(
                delay + MS,
                Some((work.entry, work.start)),
                SimEvent::Ended(attempt, end),
            );
        }
    }

    pub(super) fn cancel(&mut self, entry: usize, start: u64, server: usize, attempt: AttemptId) {
        let target = &mut self.servers[server];
        let before = target.working.len();
        target.working.retain(|work| work.attempt != attempt);
        // An unknown attempt may still be in transit.
        let stopped = target.up && target.working.len() < before;
        self.counts.cancels += u64::from(stopped);
        let delay = self.delay(100 * MS);
        self.push(
            delay,
            Some((entry, start)),
            SimEvent::CancelEnd {
                server,
                attempt,
                stopped,
            },
        );
    }

    pub(super) fn announce(&mut self, index: usize) {
        let gap = self.random.random_range(400 * MS..500 * MS);
        self.push(gap, None, SimEvent::Announce(index));
        if !self.servers[index].up {
            return;
        }
        let server = &mut self.servers[index];
        server.announcement.sequence += 1;
        let announcement = server.announcement.clone();
        let has_left = server.has_left;
        let view = Arc::clone(&self.latest().view);
        let name = &announcement.replica;
        let keeper = find_keeper(&view, &ENVIRONMENT.into(), &CENTRE.into(), name);
        let Some(vm) = keeper.map(|entry| entry.vm.clone()) else {
            return;
        };
        let keeper = self
            .entries
            .iter()
            .position(|entry| entry.vm == vm)
            .expect("an entry");
        let delay = self.delay(6 * SECOND);
        self.push_to(delay, keeper, SimEvent::Announced(announcement.clone()));
        if has_left {
            let delay = self.delay(SECOND);
            self.push_to(
                delay,
                keeper,
                SimEvent::Left(index, announcement.incarnation),
            );
        }
        if self.chance(10) {
            let (delay, other) = (self.delay(6 * SECOND), self.random.random_range(0..3));
            self.push_to(delay, other, SimEvent::Announced(announcement));
        }
    }

    pub(super) fn crash(&mut self, index: usize) {
        if !self.servers[index].up {
            return;
        }
        self.counts.crashes += 1;
        let server = &mut self.servers[index];
        server.up = false;
        for work in std::mem::take(&mut server.working) {
            let sim_event = SimEvent::Ended(work.attempt, DispatchOutcome::Reset);
            self.push(MS, Some((work.entry, work.start)), sim_event);
        }
        let down = self.random.random_range(100 * MS..2 * SECOND);
        self.push(down, None, SimEvent::Restart(index));
    }

    pub(super) fn restart(&mut self, index: usize) {
        if self.servers[index].up && !self.servers[index].has_left {
            return;
        }
        let interrupted = std::mem::take(&mut self.servers[index].working);
        for work in interrupted {
            let sim_event = SimEvent::Ended(work.attempt, DispatchOutcome::Reset);
            self.push(MS, Some((work.entry, work.start)), sim_event);
        }
        let silent = self.chance(30);
        let server = &mut self.servers[index];
        server.up = true;
        server.has_left = false;
        server.announcement.incarnation.0 += 1;
        server.announcement.sequence = 0;
        server.announcement.state = if silent {
            ServerState::Ready
        } else {
            ServerState::Cold
        };
        server.capacity = 1;
        let sim_event = SimEvent::BecomeReady(index, server.announcement.incarnation);
        let delay = self.random.random_range(500 * MS..4 * SECOND);
        self.push(delay, None, sim_event);
    }
}
