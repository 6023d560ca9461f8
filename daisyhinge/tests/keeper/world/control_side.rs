//! Simulated control: views, injected faults and the final check of replies.

use super::*;

impl World {
    pub(super) fn control(&mut self) {
        self.push(200 * MS, None, SimEvent::Control);
        let now = self.now;
        self.departures.retain(|(at, _)| now < at + 20 * SECOND);
        if self.chance(10) {
            self.return_centre();
        }
        for index in 0..3 {
            let entry = &self.entries[index];
            let member = self
                .latest()
                .view
                .entries
                .iter()
                .any(|record| record.vm == entry.vm);
            if member && entry.last_contact + SILENCE_MAX < self.now {
                self.depart(index, false);
            }
        }
    }

    pub(super) fn return_centre(&mut self) {
        let document = &self.latest().view.environments[&ENVIRONMENT.into()];
        let centre = document.find_centre(&CENTRE.into());
        if centre.is_some_and(|centre| centre.state == CentreState::Out) {
            self.commit(|view| change_centre(view, |centre| centre.state = CentreState::In));
        }
    }

    pub(super) fn depart(&mut self, index: usize, released: bool) {
        let vm = self.entries[index].vm.clone();
        let silent_ms = self.now.saturating_sub(self.entries[index].last_contact) / MS;
        self.departures.push((
            self.now,
            DepartedEntry {
                vm: vm.clone(),
                released,
                silent_ms,
            },
        ));
        self.commit(|view| view.entries.retain(|record| record.vm != vm));
    }

    pub(super) fn commit(&mut self, change: impl FnOnce(&mut ControlView)) {
        let mut next = ControlView::clone(&self.latest().view);
        next.version.0 += 1;
        next.departed = self
            .departures
            .iter()
            .map(|(_, departed)| departed.clone())
            .collect();
        change(&mut next);
        next.entries
            .sort_by(|first, second| first.vm.cmp(&second.vm));
        self.versions.push(Version {
            committed: self.now,
            view: Arc::new(next),
        });
    }

    pub(super) fn inject_fault(&mut self) {
        let gap = self.random.random_range(100 * MS..3 * SECOND);
        self.push(gap, None, SimEvent::Fault);
        let (index, server) = (
            self.random.random_range(0..3),
            self.random.random_range(0..4),
        );
        match self.random.random_range(0..10) {
            0 => self.crash(server),
            1 => self.servers[server].capacity = 1,
            2 => self.servers[server].capacity = SLOTS,
            3 if !self.servers[server].has_left && self.servers[server].up => {
                self.servers[server].has_left = true;
                self.push(3 * SECOND, None, SimEvent::Restart(server));
            }
            4 => self.commit(|view| {
                change_centre(view, |centre| {
                    let out = centre.state == CentreState::In;
                    centre.state = if out {
                        CentreState::Out
                    } else {
                        CentreState::In
                    };
                });
            }),
            5 => {
                let cap = self.random.random_range(0..10);
                let cap = (cap > 2).then_some(cap);
                self.commit(|view| change_centre(view, |centre| centre.power_cap = cap));
            }
            6 => self.commit(|view| change_centre(view, |centre| centre.power_cap = None)),
            7 if self.entry_faults => {
                let until = self.now + self.random.random_range(0..9 * SECOND);
                let entry = &mut self.entries[index];
                if self.random.random_range(0..3) == 0 {
                    entry.frozen_until = until;
                } else {
                    entry.partitioned_until = until;
                }
            }
            8 if self.entry_faults && self.entries[index].alive => {
                self.entries[index].alive = false;
                self.push(SECOND, None, SimEvent::Revive(index));
            }
            9 if self.entry_faults => {
                let vm = self.entries[index].vm.clone();
                self.commit(|view| {
                    for record in view.entries.iter_mut().filter(|record| record.vm == vm) {
                        record.state = EntryState::Leaving;
                    }
                });
            }
            _ => {}
        }
    }

    pub(super) fn revive(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        entry.start += 1;
        entry.alive = true;
        entry.frozen_until = 0;
        entry.partitioned_until = 0;
        entry.lease = FreshnessLease::default();
        entry.keepers = new_keeper_set(&entry.vm, entry.start);
        entry.open_runs.clear();
        entry.known_cold.clear();
        entry.left_replicas.clear();
        self.pending.retain(|_, (at, _)| *at != index);
        self.start_entry(index);
    }

    /// Checks that every request was sent or refused by its expiry, unless its entry is frozen.
    pub(super) fn check_replies(&self) {
        for (attempt, (index, expires)) in &self.pending {
            let entry = &self.entries[*index];
            let waits = entry.frozen_until + SECOND > self.now || !entry.alive;
            let late = self.now > expires + 20 * MS;
            assert!(waits || !late, "no reply to {attempt}");
        }
    }
}
