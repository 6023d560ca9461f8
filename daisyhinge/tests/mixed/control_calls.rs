//! Calls from entries to control: freshness proofs, claims and the ends of claims.

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
    CallKind, ControlCall, ENVIRONMENT, Endpoint, Entry, EntryStart, MS, Requester, SimEvent, World,
};

/// Number of control VMs that entries know.
pub const CONTROL_VMS: usize = 3;
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
        let request = FreshnessRequest {
            entry: entry.record(),
            holds: entry.view.version,
            released: entry.released,
        };
        self.call_control(index, CallKind::Fresh, CoreRequest::Fresh(request), 1);
    }

    pub fn call_control(
        &mut self,
        index: usize,
        kind: CallKind,
        request: CoreRequest,
        attempts: u32,
    ) {
        let now = self.now;
        let entry = &mut self.entries[index];
        entry.sequence += 1;
        let call = ControlCall {
            kind,
            request,
            // Read before the request is sent, so that a lease from the reply is never too long.
            sent_at: entry.local_time(now),
            attempts_left: attempts,
        };
        let number = entry.sequence;
        entry.calls.insert(number, call);
        self.send_call(index, number);
    }

    fn send_call(&mut self, index: usize, number: u64) {
        let entry = &mut self.entries[index];
        let node = entry.control % CONTROL_VMS;
        let call = entry.calls.get_mut(&number).expect("call is in flight");
        call.attempts_left -= 1;
        let request = call.request.clone();
        let requester = Requester::Entry {
            to: self.start_of(index),
            call: number,
            from: node,
        };
        if let Some(delay) = self.transit(Endpoint::Entry(index), Endpoint::Control(node)) {
            self.push(
                delay,
                None,
                SimEvent::Control {
                    node,
                    request,
                    requester,
                },
            );
        }
        self.push_to(CONTROL_TIMEOUT, index, SimEvent::CallTimeout(number));
    }

    pub fn handle_control_request(
        &mut self,
        node: usize,
        request: CoreRequest,
        requester: Requester,
    ) {
        if let Some(req_id) = self.cluster.send_request(node, request) {
            self.requesters.insert(req_id, requester);
            self.handle_control_replies();
        }
    }

    /// Forwards replies of control to the entries and operators that requested them.
    pub fn handle_control_replies(&mut self) {
        for sim_reply in std::mem::take(&mut self.cluster.replies) {
            let Some(requester) = self.requesters.remove(&sim_reply.req_id) else {
                continue;
            };
            match requester {
                Requester::Entry { to, call, from } => {
                    let transit_delay =
                        self.transit(Endpoint::Control(from), Endpoint::Entry(to.index));
                    let reply = sim_reply.reply;
                    if let Some(delay) = transit_delay {
                        self.push(delay, Some(to), SimEvent::ControlReply { call, reply });
                    }
                }
                Requester::Operator(request) => self.record_change(&request, &sim_reply.reply),
            }
        }
    }

    pub fn time_out_call(&mut self, index: usize, number: u64) {
        if self.entries[index].calls.contains_key(&number) {
            self.retry_call(index, number);
        }
    }

    /// Tries the next control VM until the call's attempts are used up.
    fn retry_call(&mut self, index: usize, number: u64) {
        let entry = &mut self.entries[index];
        entry.control += 1;
        if entry.calls[&number].attempts_left > 0 {
            self.send_call(index, number);
            return;
        }
        let call = entry.calls.remove(&number).expect("call is in flight");
        match call.kind {
            CallKind::Fresh => self.push_to(50 * MS, index, SimEvent::Renew),
            CallKind::Claim { search } => {
                let reply = ClaimReply::Refused(ResultCode::ClaimUnavailable);
                self.step_search(index, search, SearchEvent::Claimed(reply));
            }
            CallKind::EndClaim { .. } => {}
        }
    }

    pub fn handle_control_reply(&mut self, index: usize, number: u64, reply: CoreReply) {
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
                self.apply_proof(index, &proof, call.sent_at);
                let interval = self.random.random_range(400 * MS..500 * MS);
                self.push_to(interval, index, SimEvent::Renew);
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

    fn apply_proof(&mut self, index: usize, proof: &FreshnessProof, sent_at: MonotonicTime) {
        let entry = &self.entries[index];
        let newer = proof
            .view
            .as_ref()
            .filter(|view| view.version > entry.view.version);
        if let Some(view) = newer {
            self.check_view_agreement(view);
            let entry = &mut self.entries[index];
            entry.view = Arc::clone(view);
            entry
                .routes
                .adopt_view(Arc::clone(view), ENVIRONMENT.into(), entry.centre.clone());
            self.step_keeper_set(index, KeeperSetEvent::View(Arc::clone(view)));
        }
        let entry = &mut self.entries[index];
        if entry.view.version == proof.version {
            entry.lease.renew(
                proof.version,
                sent_at,
                Self::duration_from_micros(proof.age_us),
            );
            let lease = entry.lease;
            self.step_keeper_set(index, KeeperSetEvent::Lease(lease));
        }
        let entry = &mut self.entries[index];
        let listed = entry.leaving && entry.view.entries.contains(&entry.record());
        if listed && entry.keeper_set.is_released() {
            entry.released = true;
        }
    }

    /// Checks that all entries see the same view at one version.
    fn check_view_agreement(&mut self, view: &Arc<daisyhinge::vocabulary::view::ControlView>) {
        let known = self.views.entry(view.version);
        let known = known.or_insert_with(|| Arc::clone(view));
        assert_eq!(known, view, "two views of one version");
    }

    pub fn is_running(&self, to: EntryStart) -> bool {
        let entry = &self.entries[to.index];
        entry.alive && entry.start == to.start
    }
}
