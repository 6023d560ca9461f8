//! Faults: several at a time, and again before the last ones are over.

use rand::RngExt;

use crate::control_side::CONTROLS;
use crate::world::{ENTRIES, Item, MS, Place, SECOND, SERVERS, World};

impl World {
    pub fn fault(&mut self) {
        if self.calm_since.is_some() {
            return;
        }
        let gap = self.random.random_range(50 * MS..1_500 * MS);
        self.push(gap, None, Item::Fault);
        self.counts.faults += 1;
        let entry = self.random.random_range(0..ENTRIES);
        let server = self.any_server();
        match self.random.random_range(0..15) {
            0 if self.entries[entry].alive => self.kill(entry),
            1 if self.entries[entry].alive => {
                self.entries[entry].frozen = self.now + self.random.random_range(0..9 * SECOND);
            }
            2 | 3 => self.cut_two(),
            4 => self.cut_off_entry(entry),
            5 => self.crash_control(),
            6 => {
                let place = self.random.random_range(0..CONTROLS);
                self.cluster.vms[place].frozen_until =
                    self.cluster.now + self.random.random_range(0..3 * SECOND);
            }
            7 if self.cluster.is_whole() => {
                let place = self.random.random_range(0..CONTROLS);
                self.cluster.lose_disk(place);
                let down = self.random.random_range(100 * MS..2 * SECOND);
                self.push(down, None, Item::StartControl(place));
            }
            8 => self.crash_server(server),
            9 => self.servers[server].bears = 1,
            10 => self.leave_server(server),
            11 => self.cut_snapshot(3, false),
            12 => {
                let shards = self.random.random_range(1..4);
                self.cut_snapshot(shards, false);
            }
            13 => self.leave_entry(entry),
            14 => self.cut_control(),
            _ => {}
        }
    }

    fn any_place(&mut self) -> Place {
        match self.random.random_range(0..3) {
            0 => Place::Control(self.random.random_range(0..CONTROLS)),
            1 => Place::Entry(self.random.random_range(0..ENTRIES)),
            _ => Place::Server(self.random.random_range(0..SERVERS)),
        }
    }

    fn cut(&mut self, from: Place, to: Place, span: u64) {
        self.cuts.insert((from, to));
        self.push(span, None, Item::Heal(from, to));
    }

    fn cut_two(&mut self) {
        let (from, to) = (self.any_place(), self.any_place());
        let span = self.random.random_range(100 * MS..8 * SECOND);
        self.cut(from, to, span);
        if self.chance(700) {
            self.cut(to, from, span);
        }
    }

    /// An entry is cut off from all of control.
    fn cut_off_entry(&mut self, index: usize) {
        let span = self.random.random_range(SECOND..8 * SECOND);
        for place in 0..CONTROLS {
            self.cut(Place::Control(place), Place::Entry(index), span);
            if self.chance(500) {
                self.cut(Place::Entry(index), Place::Control(place), span);
            }
        }
    }

    /// A control VM is cut off from the others in silence, not from entries.
    fn cut_control(&mut self) {
        if self.chance(500) {
            self.cluster.cuts.clear();
            return;
        }
        let place = self.random.random_range(0..CONTROLS);
        for other in 0..CONTROLS {
            self.cluster.cuts.insert((place, other));
            self.cluster.cuts.insert((other, place));
        }
    }

    fn crash_control(&mut self) {
        let place = self.random.random_range(0..CONTROLS);
        if self.cluster.vms[place].core.is_some() {
            self.cluster.crash(place);
            let down = self.random.random_range(100 * MS..4 * SECOND);
            self.push(down, None, Item::StartControl(place));
        }
    }

    pub fn start_control(&mut self, place: usize) {
        if self.cluster.vms[place].core.is_some() {
            return;
        }
        self.cluster.start(place);
        if self.cluster.vms[place].core.is_none() {
            self.push(200 * MS, None, Item::StartControl(place));
        }
    }

    /// A graceful leave; the process comes back some time after it has ended.
    fn leave_entry(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        if entry.alive && !entry.leaving {
            entry.leaving = true;
            entry.left_at = self.now;
        }
    }

    /// Ends all faults; nothing new fails from here on.
    pub fn end_faults(&mut self) {
        self.calm_since = Some(self.now);
        self.cluster.calm = true;
        self.cluster.cuts.clear();
        self.cuts.clear();
        for place in 0..self.cluster.vms.len() {
            self.cluster.vms[place].frozen_until = 0;
            self.start_control(place);
        }
        for server in 0..SERVERS {
            let incarnation = self.servers[server].announcement.incarnation;
            if self.servers[server].up && !self.servers[server].left {
                self.turn_ready(server, incarnation);
            }
        }
    }
}
