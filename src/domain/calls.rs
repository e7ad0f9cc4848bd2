//! Calls of callers and operators: answered here or handed to the leader that can.

use tokio::time::Instant;

use crate::config::{PlanDocument, home_domain};
use crate::domain::controller::{DomainController, ReplyTo};
use crate::id::DomainId;
use crate::ledger::LedgerRecord;
use crate::message::{CallRefusal, ClientAnswer, ClientCall, PeerMessage};

/// Calls that may wait for a leader to know its jobs.
const MAX_EARLY_CALLS: usize = 1_024;
/// Jobs in one list.
const MAX_LISTED: usize = 1_000;

impl DomainController {
    /// Takes a call of a client of this entry or of a peer.
    pub(crate) fn client_call(&mut self, now: Instant, to: ReplyTo, call: ClientCall) {
        match call {
            ClientCall::Plan(request) => {
                let cluster = self.peers.cluster(now, &self.own_summary());
                let config = self.config.current();
                let plan = PlanDocument::new(config, request, &cluster, &self.domains);
                self.reply(&to, ClientAnswer::Plan(Box::new(plan)));
            }
            ClientCall::Confirm(plan) => self.confirm(now, &to, *plan),
            ClientCall::Status => {
                let status = self.status(now);
                self.reply(&to, ClientAnswer::Status(Box::new(status)));
            }
            ClientCall::Dump => {
                let dump = self.dump(now);
                self.reply(&to, ClientAnswer::Dump(dump));
            }
            call => self.domain_call(now, to, call),
        }
    }

    fn confirm(&mut self, now: Instant, to: &ReplyTo, plan: PlanDocument) {
        let ReplyTo::Client(id) = to else {
            return self
                .refuse(to, CallRefusal::NotFound("confirms are not handed over".to_owned()));
        };
        let cluster = self.peers.cluster(now, &self.own_summary());
        let outputs = self.config.confirm(now, *id, plan, &cluster, &self.domains);
        self.config_outputs(now, outputs);
    }

    /// The failure domain that keeps what a call is about.
    fn home(&self, call: &ClientCall) -> Option<DomainId> {
        let by_name = |name: &str| home_domain(name, &self.domains).cloned();
        match call {
            ClientCall::Submit(request) => {
                let config = self.config.current();
                let only = config.intents.get(&request.intent).and_then(|i| i.spec.domain.clone());
                only.or_else(|| by_name(&request.id))
            }
            ClientCall::Cancel(id) | ClientCall::Job(id) => self.home_of_job(id),
            ClientCall::Jobs { domain, .. } => Some(domain.clone()),
            ClientCall::ReserveKey { id, .. } | ClientCall::CompleteKey { id, .. } => by_name(id),
            _ => Some(self.identity.domain.clone()),
        }
    }

    /// Jobs of intents carry their failure domain in their name.
    fn home_of_job(&self, id: &str) -> Option<DomainId> {
        let named = id.rsplit_once('@').map(|(_, domain)| domain);
        match self.domains.iter().find(|domain| Some(&***domain) == named) {
            Some(domain) => Some(domain.clone()),
            None => home_domain(id, &self.domains).cloned(),
        }
    }

    fn domain_call(&mut self, now: Instant, to: ReplyTo, call: ClientCall) {
        let Some(home) = self.home(&call) else {
            return self.refuse(&to, CallRefusal::NoLeader);
        };
        let local = home == self.identity.domain;
        let handed_over = matches!(to, ReplyTo::Peer(..));
        match &mut self.leader {
            Some(leader) if (local || handed_over) && leader.active => {
                self.leader_call(now, to, call);
            }
            Some(leader) if local && leader.early_calls.len() < MAX_EARLY_CALLS => {
                leader.early_calls.push((to, call));
            }
            _ if handed_over => self.refuse(&to, CallRefusal::NoLeader),
            _ => self.hand_over(now, &to, &home, call),
        }
    }

    /// Hands a call to the leader of a failure domain.
    fn hand_over(&mut self, now: Instant, to: &ReplyTo, home: &DomainId, call: ClientCall) {
        let Some(leader) = self.peers.leader_of(now, home) else {
            return self.refuse(to, CallRefusal::NoLeader);
        };
        let ReplyTo::Client(id) = to else {
            return;
        };
        let dropped = self.peers.expect_answer(now, *id, leader.clone(), call.clone());
        if let Some(id) = dropped {
            self.refuse(&ReplyTo::Client(id), CallRefusal::Busy);
        }
        self.tell(&leader, PeerMessage::Call(*id, call));
    }

    fn leader_call(&mut self, now: Instant, to: ReplyTo, call: ClientCall) {
        if !self.leadership.may_act(now) {
            return self.refuse(&to, CallRefusal::NoLeader);
        }
        match call {
            ClientCall::Submit(request) => self.submit(now, to, request),
            ClientCall::Cancel(id) => self.cancel_job(now, to, &id),
            ClientCall::Job(id) => match self.view_job(&id) {
                Some(view) => self.reply(&to, ClientAnswer::Job(Box::new(view))),
                None => self.refuse(&to, CallRefusal::NotFound(format!("no job {id}"))),
            },
            ClientCall::Jobs { prefix, .. } => self.list_jobs(&to, &prefix),
            ClientCall::ReserveKey { id, digest, holder } => {
                self.reserve_key(now, to, id, digest, holder);
            }
            ClientCall::CompleteKey { id, holder, state } => {
                self.complete_key(&to, &id, &holder, state);
            }
            _ => self.refuse(&to, CallRefusal::NotFound("not a call for a leader".to_owned())),
        }
    }

    fn list_jobs(&mut self, to: &ReplyTo, prefix: &str) {
        let ids = self.journal.records().filter_map(|record| match record {
            LedgerRecord::Job(job) if job.spec.id.starts_with(prefix) => Some(job.spec.id.clone()),
            _ => None,
        });
        let ids: Vec<_> = ids.take(MAX_LISTED).collect();
        let views = ids.iter().filter_map(|id| self.view_job(id)).collect();
        self.reply(to, ClientAnswer::Jobs(views));
    }

    /// A call that was handed over got no answer.
    pub(crate) fn give_up_call(&mut self, id: u64, call: &ClientCall) {
        let refusal = match call {
            ClientCall::Job(_) | ClientCall::Jobs { .. } => CallRefusal::NoLeader,
            _ => CallRefusal::Unknown,
        };
        self.refuse(&ReplyTo::Client(id), refusal);
    }
}
