//! Model of the operators, who submit racing changes, resend changes, and take data centres out
//! of service and return them.

use std::sync::Arc;

use daisyhinge::control::core::{CoreReply, CoreRequest};
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::answer::QueryAnswer;
use daisyhinge::vocabulary::change::{ChangeKind, ChangeRequest};
use daisyhinge::vocabulary::environment::{
    AddressPolicy, CentreEntry, CentreState, EnvironmentDocument, RegionEntry, ServiceEntry,
};
use daisyhinge::vocabulary::query::AnswerPreference;
use rand::RngExt;

use crate::control_calls::CONTROL_VMS;
use crate::world::{
    AcceptedChange, CENTRES, ENVIRONMENT, MS, PRINT, Requester, SEARCH, SECOND, SimEvent, World,
};

/// Number of recent changes that operators may resend.
const RECENT_MAX: usize = 6;

fn make_service(name: &str, repeatable: bool) -> ServiceEntry {
    ServiceEntry {
        name: name.into(),
        repeatable,
        deadline_ms: 1_000,
        minimum_coverage_ppm: 0,
        preference: AnswerPreference::Latency,
        extra_work_ppm: 50_000,
        running_max: 1_024,
    }
}

impl World {
    pub fn step_operators(&mut self) {
        let faults_ended = self.faults_ended_at.is_some();
        let interval = self.random.random_range(200 * MS..1_500 * MS);
        self.push(interval, None, SimEvent::OperatorStep);
        if faults_ended && self.are_centres_in_service() {
            return;
        }
        match self.random.random_range(0..10) {
            _ if self.views.is_empty() || faults_ended => self.submit_document(CentreState::In),
            0..2 => self.submit_racing_changes(),
            2..4 => self.set_centre(CentreState::Out),
            4..8 => self.set_centre(CentreState::In),
            _ => self.resend_change(),
        }
    }

    /// Returns whether all data centres are in service in the newest known view.
    fn are_centres_in_service(&self) -> bool {
        let newest = self.views.values().next_back();
        let document = newest.and_then(|view| view.environments.get(&ENVIRONMENT.into()));
        document.is_some_and(|document| {
            CENTRES.iter().all(|name| {
                let centre = document.find_centre(&CentreName::from(*name));
                centre.is_some_and(|centre| centre.state == CentreState::In)
            })
        })
    }

    fn make_document(&mut self, second_state: CentreState) -> EnvironmentDocument {
        self.document_number += 1;
        let states = [CentreState::In, second_state];
        let regions = CENTRES.iter().zip(states).map(|(name, state)| RegionEntry {
            name: format!("region-{name}").as_str().into(),
            data_centres: vec![CentreEntry {
                name: (*name).into(),
                state,
                power_cap: None,
            }],
        });
        EnvironmentDocument {
            regions: regions.collect(),
            services: vec![make_service(SEARCH, true), make_service(PRINT, false)],
            addresses: AddressPolicy {
                keep_ms: 1,
                count: self.document_number,
            },
        }
    }

    fn submit_document(&mut self, second_state: CentreState) {
        let document = Arc::new(self.make_document(second_state));
        let environment = EnvironmentName::from(ENVIRONMENT);
        let base = self
            .cluster
            .versions
            .get(&environment)
            .copied()
            .unwrap_or(0);
        let request = ChangeRequest {
            change: ChangeId::from(format!("apply-{}", self.document_number)),
            base: Some(VersionNumber(base)),
            operator: Arc::from("ada"),
            made_ms: 0,
            kind: ChangeKind::Apply {
                environment,
                document,
            },
        };
        self.send_change(request);
    }

    /// Submits changes of two operators to the same version.
    fn submit_racing_changes(&mut self) {
        self.submit_document(CentreState::In);
        self.submit_document(CentreState::Out);
    }

    fn set_centre(&mut self, state: CentreState) {
        let centre = CENTRES[self.random.random_range(0..CENTRES.len())];
        self.document_number += 1;
        let request = ChangeRequest {
            change: ChangeId::from(format!("centre-{}", self.document_number)),
            base: None,
            operator: Arc::from("bola"),
            made_ms: 0,
            kind: ChangeKind::SetCentre {
                environment: ENVIRONMENT.into(),
                data_centre: centre.into(),
                state,
            },
        };
        self.send_change(request);
    }

    fn resend_change(&mut self) {
        if self.recent_changes.is_empty() {
            return;
        }
        let index = self.random.random_range(0..self.recent_changes.len());
        let request = self.recent_changes[index].clone();
        self.send_change(request);
    }

    fn send_change(&mut self, request: ChangeRequest) {
        let node = match self.cluster.leader() {
            Some(leader) if self.chance(800) => leader,
            _ => self.random.random_range(0..CONTROL_VMS),
        };
        if !self.recent_changes.contains(&request) {
            self.recent_changes.push(request.clone());
        }
        if self.recent_changes.len() > RECENT_MAX {
            self.recent_changes.remove(0);
        }
        let event = SimEvent::Control {
            node,
            request: CoreRequest::Change(request.clone(), None),
            requester: Requester::Operator(request),
        };
        let delay = self.random.random_range(MS..20 * MS);
        self.push(delay, None, event);
    }

    pub fn record_change(&mut self, request: &ChangeRequest, reply: &CoreReply) {
        let CoreReply::Change(Ok(committed)) = reply else {
            return;
        };
        let version = committed.version;
        let previous = self
            .answered_changes
            .insert(request.change.clone(), version);
        if let Some(previous) = previous {
            assert_eq!(previous, version, "a resent change got another version");
            return;
        }
        let known = self.cluster.versions.entry(ENVIRONMENT.into()).or_default();
        *known = (*known).max(version.0);
        let taken_out = match &request.kind {
            ChangeKind::SetCentre {
                data_centre,
                state: CentreState::Out,
                ..
            } => Some(data_centre.clone()),
            _ => None,
        };
        self.counts.accepted += 1;
        self.counts.take_outs += u64::from(taken_out.is_some());
        self.accepted.push(AcceptedChange {
            at: self.cluster.now,
            version,
            taken_out,
        });
    }
}

/// Returns whether an answer covers every shard.
pub fn is_complete_answer(answer: &QueryAnswer) -> bool {
    answer.missing.is_empty() && answer.answered_weight == answer.whole_weight
}

/// Maximum time from acceptance of a change until it is in force at every entry that dispatches.
pub const IN_FORCE_TIMEOUT: u64 = 5 * SECOND;
