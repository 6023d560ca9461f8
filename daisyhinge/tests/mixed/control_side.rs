//! Asks of entries to control: proofs of freshness, claims and their ends.

use std::sync::Arc;

use daisyhinge::control::core::{CoreReply, CoreRequest};
use daisyhinge::keeper::keeper_set::KeeperSetEvent;
use daisyhinge::prelude::*;
use daisyhinge::search::SearchEvent;
use daisyhinge::vocabulary::claim::ClaimReply;
use daisyhinge::vocabulary::freshness::{FreshnessProof, FreshnessRequest};
use daisyhinge::vocabulary::view::{EntryRecord, EntryState};
use rand::RngExt;

use crate::cluster::address_of;
use crate::world::{
    Asker, CallKind, ControlCall, ENVIRONMENT, Entry, EntryStart, Item, MS, Place, World,
};

/// Control VMs that entries know.
pub const CONTROLS: usize = 3;
const CONTROL_TIMEOUT: u64 = 700 * MS;

impl Entry {
    pub fn record(&self) -> EntryRecord {
        EntryRecord {
            vm: self.vm.clone(),
            environment: ENVIRONMENT.into(),
            data_centre: self.centre.clone(),
            incarnation: IncarnationNumber(self.start),
            caller_address: address_of(200),
            peer_address: address_of(201),
            state: if self.leaving {
                EntryState::Leaving
            } else {
                EntryState::Live
            },
        }
    }
}

impl World {
    pub fn renew(&mut self, index: usize) {
        let entry = &self.entries[index];
        let ask = FreshnessRequest {
            entry: entry.record(),
            holds: entry.view.version,
            released: entry.released,
        };
        self.call_control(index, CallKind::Fresh, CoreRequest::Fresh(ask), 1);
    }

    pub fn call_control(&mut self, index: usize, kind: CallKind, ask: CoreRequest, tries: u32) {
        let now = self.now;
        let entry = &mut self.entries[index];
        entry.sequence += 1;
        let call = ControlCall {
            kind,
            ask,
            // Taken before the question leaves.
            asked: entry.local(now),
            tries_left: tries,
        };
        let number = entry.sequence;
        entry.calls.insert(number, call);
        self.send_call(index, number);
    }

    fn send_call(&mut self, index: usize, number: u64) {
        let entry = &mut self.entries[index];
        let place = entry.control % CONTROLS;
        let call = entry.calls.get_mut(&number).expect("a call under way");
        call.tries_left -= 1;
        let ask = call.ask.clone();
        let asker = Asker::Entry {
            to: self.start_of(index),
            call: number,
            from: place,
        };
        if let Some(delay) = self.transit(Place::Entry(index), Place::Control(place)) {
            self.push(delay, None, Item::Control { place, ask, asker });
        }
        self.push_at(CONTROL_TIMEOUT, index, Item::CallTimeout(number));
    }

    pub fn ask_control(&mut self, place: usize, ask: CoreRequest, asker: Asker) {
        if let Some(req_id) = self.cluster.ask(place, ask) {
            self.askers.insert(req_id, asker);
            self.take_control_replies();
        }
    }

    /// Sends on what control replied.
    pub fn take_control_replies(&mut self) {
        for given in std::mem::take(&mut self.cluster.replies) {
            let Some(asker) = self.askers.remove(&given.req_id) else {
                continue;
            };
            match asker {
                Asker::Entry { to, call, from } => {
                    let way = self.transit(Place::Control(from), Place::Entry(to.index));
                    let reply = given.reply;
                    if let Some(delay) = way {
                        self.push(delay, Some(to), Item::ControlReply { call, reply });
                    }
                }
                Asker::Operator(ask) => self.take_change_reply(&ask, &given.reply),
            }
        }
    }

    pub fn time_out_call(&mut self, index: usize, number: u64) {
        if self.entries[index].calls.contains_key(&number) {
            self.retry_call(index, number);
        }
    }

    /// Goes on to the next control VM, as often as the call is worth.
    fn retry_call(&mut self, index: usize, number: u64) {
        let entry = &mut self.entries[index];
        entry.control += 1;
        if entry.calls[&number].tries_left > 0 {
            self.send_call(index, number);
            return;
        }
        let call = entry.calls.remove(&number).expect("a call under way");
        match call.kind {
            CallKind::Fresh => self.push_at(50 * MS, index, Item::Renew),
            CallKind::Claim { search } => {
                let reply = ClaimReply::Refused(ResultCode::ClaimUnavailable);
                self.step_search(index, search, SearchEvent::Claimed(reply));
            }
            CallKind::EndClaim { .. } => {}
        }
    }

    pub fn take_control_reply(&mut self, index: usize, number: u64, reply: CoreReply) {
        let Some(call) = self.entries[index].calls.get(&number).cloned() else {
            return;
        };
        let retry = match &reply {
            CoreReply::Fresh(proof) => proof.is_err(),
            CoreReply::Claim(ClaimReply::Refused(code)) => {
                matches!(code, ResultCode::NotLeader | ResultCode::NoQuorum)
            }
            CoreReply::EndClaim(recorded) => !recorded,
            _ => false,
        };
        if retry {
            self.retry_call(index, number);
            return;
        }
        self.entries[index].calls.remove(&number);
        match (call.kind, reply) {
            (CallKind::Fresh, CoreReply::Fresh(Ok(proof))) => {
                self.take_proof(index, &proof, call.asked);
                let gap = self.random.random_range(400 * MS..500 * MS);
                self.push_at(gap, index, Item::Renew);
            }
            (CallKind::Claim { search }, CoreReply::Claim(reply)) => {
                self.step_search(index, search, SearchEvent::Claimed(reply));
            }
            (CallKind::EndClaim { search, returned }, _) if returned => {
                self.step_search(index, search, SearchEvent::ClaimReturned);
            }
            _ => {}
        }
    }

    fn take_proof(&mut self, index: usize, proof: &FreshnessProof, asked: MonotonicTime) {
        let entry = &self.entries[index];
        let newer = proof
            .view
            .as_ref()
            .filter(|view| view.version > entry.view.version);
        if let Some(view) = newer {
            self.note_view(view);
            let entry = &mut self.entries[index];
            entry.view = Arc::clone(view);
            entry
                .routes
                .adopt_view(Arc::clone(view), ENVIRONMENT.into(), entry.centre.clone());
            self.step_roster(index, KeeperSetEvent::View(Arc::clone(view)));
        }
        let entry = &mut self.entries[index];
        if entry.view.version == proof.version {
            entry
                .lease
                .renew(proof.version, asked, Self::span(proof.age_us));
            let lease = entry.lease;
            self.step_roster(index, KeeperSetEvent::Lease(lease));
        }
        let entry = &mut self.entries[index];
        let listed = entry.leaving && entry.view.entries.contains(&entry.record());
        if listed && entry.keeper_set.is_released() {
            entry.released = true;
        }
    }

    /// All entries see the same at one version.
    fn note_view(&mut self, view: &Arc<daisyhinge::vocabulary::view::ControlView>) {
        let known = self.views.entry(view.version);
        let known = known.or_insert_with(|| Arc::clone(view));
        assert_eq!(known, view, "two views of one version");
    }

    pub fn start_is(&self, to: EntryStart) -> bool {
        let entry = &self.entries[to.index];
        entry.alive && entry.start == to.start
    }
}
