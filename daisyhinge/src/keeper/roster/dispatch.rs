//! Steps of single replicas under what all of them share: crash records and power caps.

use crate::keeper::crash::CrashVerdict;
use crate::keeper::event::{KeeperAction, KeeperEvent};
use crate::keeper::roster::KeeperRoster;
use crate::keeper::roster::event::RosterAction;
use crate::keeper::roster::row::RosterRow;
use crate::keeper::ticket::SubTicket;
use crate::keeper::watch::CrashNote;
use crate::prelude::*;
use crate::vocabulary::event::{EventDraft, EventKind};
use crate::vocabulary::subrequest::SubRefusal;

impl KeeperRoster {
    pub(super) fn ask(
        &mut self,
        now: MonotonicTime,
        replica: &ReplicaName,
        ticket: SubTicket,
        actions: &mut Vec<RosterAction>,
    ) {
        // The root may know of a crash before this keeper does.
        let told = if ticket.suspect {
            CrashVerdict::Suspect
        } else {
            CrashVerdict::Clear
        };
        let verdict = self.crashes.verdict(now, ticket.digest).max(told);
        let code = if !self.rows.contains_key(replica) {
            ResultCode::NotKeeper
        } else if verdict == CrashVerdict::Poisoned {
            ResultCode::RequestPoisoned
        } else if verdict == CrashVerdict::Suspect && ticket.hedge {
            ResultCode::SlotsBusy
        } else {
            let event = match verdict {
                CrashVerdict::Suspect => KeeperEvent::AskedAlone(ticket),
                _ => KeeperEvent::Asked(ticket),
            };
            self.step_replica(now, replica, event, actions);
            return;
        };
        let refusal = SubRefusal {
            code,
            run: RunState::NotRun,
            retry_ms: 0,
            load: self.load(replica),
        };
        actions.push(RosterAction::Replica {
            replica: replica.clone(),
            action: KeeperAction::Refuse {
                attempt: ticket.attempt,
                refusal,
            },
        });
    }

    /// Steps one replica. Returns whether the power cap left no room before.
    pub(super) fn step_replica(
        &mut self,
        now: MonotonicTime,
        replica: &ReplicaName,
        event: KeeperEvent,
        actions: &mut Vec<RosterAction>,
    ) -> bool {
        let Some(row) = self.rows.get_mut(replica) else {
            return false;
        };
        let gate = row.gate(self.lease_ends);
        let centre = row.keeper.announcement().data_centre.clone();
        let share = self.history.power_share(now, &centre);
        let room = self.power.room(&centre, share);
        row.keeper.set_power_room(room);
        let before = row.keeper.load().running;
        let mut wanted = Vec::new();
        row.keeper.step(now, event, &gate, &mut wanted);
        let after = row.keeper.load().running;
        let notes = row.keeper.take_crash_notes();
        self.power.record(&centre, before, after, share);
        for note in notes {
            self.take_crash(now, replica, note, actions);
        }
        for action in wanted {
            self.take_action(now, replica, action, actions);
        }
        room == 0
    }

    fn take_action(
        &mut self,
        now: MonotonicTime,
        replica: &ReplicaName,
        action: KeeperAction,
        actions: &mut Vec<RosterAction>,
    ) {
        match action {
            KeeperAction::Publish => self.publish(now, replica),
            KeeperAction::Note(draft) => actions.push(RosterAction::Note(draft)),
            action => {
                if let KeeperAction::Send(_) = action {
                    let closed = self.gate(replica).and_then(|gate| gate.refuse_reason(now));
                    assert!(closed.is_none(), "a dispatch passed a closed gate");
                }
                actions.push(RosterAction::Replica {
                    replica: replica.clone(),
                    action,
                });
            }
        }
    }

    fn publish(&mut self, now: MonotonicTime, replica: &ReplicaName) {
        if let Some(row) = self.rows.get(replica) {
            let gate = row.gate(self.lease_ends);
            self.table.publish(row.keeper.record(now, &gate));
        }
    }

    fn take_crash(
        &mut self,
        now: MonotonicTime,
        replica: &ReplicaName,
        note: CrashNote,
        actions: &mut Vec<RosterAction>,
    ) {
        let Some(row) = self.rows.get_mut(replica) else {
            return;
        };
        match note {
            CrashNote::Suspected { digests, probe } => {
                let blamed = self.crashes.note_crash(now, &digests, probe);
                for digest in &blamed {
                    if self.crashes.verdict(now, *digest) == CrashVerdict::Poisoned {
                        let draft = EventDraft::new(EventKind::RequestPoisoned);
                        actions.push(RosterAction::Note(draft.with_value(digest.0)));
                    }
                }
                row.blamed.extend(blamed);
            }
            CrashNote::Withdrawn => {
                self.crashes.withdraw(&row.blamed);
                row.blamed.clear();
            }
            CrashNote::Confirmed => row.blamed.clear(),
            CrashNote::Answered(digest) => self.crashes.note_answered(now, digest),
        }
    }

    /// Lets other replicas of a capped data centre use what `replica` left free.
    pub(super) fn use_freed_power(
        &mut self,
        now: MonotonicTime,
        replica: &ReplicaName,
        actions: &mut Vec<RosterAction>,
    ) {
        let Some(row) = self.rows.get(replica) else {
            return;
        };
        let centre = row.keeper.announcement().data_centre.clone();
        let Some(share) = self.history.power_share(now, &centre) else {
            return;
        };
        let waits = |row: &RosterRow| {
            row.keeper.load().queued > 0 && row.keeper.announcement().data_centre == centre
        };
        let waiting = self.rows.iter().filter(|(_, row)| waits(row));
        let names: Vec<_> = waiting.map(|(name, _)| name.clone()).collect();
        for name in names {
            if self.power.room(&centre, Some(share)) == 0 {
                break;
            }
            self.step_replica(now, &name, KeeperEvent::Tick, actions);
        }
    }
}
