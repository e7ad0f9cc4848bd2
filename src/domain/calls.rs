//! Calls from callers and operators: answered here or forwarded to the responsible leader.

use tokio::time::Instant;

use crate::config::{PlanDocument, home_domain};
use crate::domain::controller::{DomainController, ReplyTo};
use crate::id::DomainId;
use crate::ledger::LedgerRecord;
use crate::message::{CallRefusal, ClientAnswer, ClientCall, PeerMessage};

/// Maximum number of calls that wait until a new leader has loaded its jobs.
const MAX_DEFERRED_CALLS: usize = 1_024;
/// Maximum number of jobs in one list.
const MAX_LISTED_JOBS: usize = 1_000;

impl DomainController {
    /// Handles a call from a client of this entry or from a peer.
    pub(crate) fn handle_client_call(&mut self, now: Instant, to: ReplyTo, call: ClientCall) {
        match call {
            ClientCall::Plan(request) => {
                let cluster = self.peers.cluster(now, &self.domain_summary());
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
            call => self.route_call(now, to, call),
        }
    }

    fn confirm(&mut self, now: Instant, to: &ReplyTo, plan: PlanDocument) {
        let ReplyTo::Client(id) = to else {
            return self
                .refuse(to, CallRefusal::NotFound("confirms are not handed over".to_owned()));
        };
        let cluster = self.peers.cluster(now, &self.domain_summary());
        let outputs = self.config.confirm(now, *id, plan, &cluster, &self.domains);
        self.apply_config_outputs(now, outputs);
    }

    /// The failure domain whose leader answers a call.
    fn call_domain(&self, call: &ClientCall) -> Option<DomainId> {
        let home_of_name = |name: &str| home_domain(name, &self.domains).cloned();
        match call {
            ClientCall::Submit(request) => {
                let config = self.config.current();
                let pinned_domain =
                    config.intents.get(&request.intent).and_then(|i| i.spec.domain.clone());
                pinned_domain.or_else(|| home_of_name(&request.id))
            }
            ClientCall::Cancel(id) | ClientCall::Job(id) => self.job_domain(id),
            ClientCall::Jobs { domain, .. } => Some(domain.clone()),
            ClientCall::ReserveKey { id, .. } | ClientCall::CompleteKey { id, .. } => {
                home_of_name(id)
            }
            _ => Some(self.identity.domain.clone()),
        }
    }

    /// The failure domain that keeps a job. The names of jobs made from intents contain it.
    fn job_domain(&self, id: &str) -> Option<DomainId> {
        let domain_name = id.rsplit_once('@').map(|(_, domain)| domain);
        match self.domains.iter().find(|domain| Some(&***domain) == domain_name) {
            Some(domain) => Some(domain.clone()),
            None => home_domain(id, &self.domains).cloned(),
        }
    }

    fn route_call(&mut self, now: Instant, to: ReplyTo, call: ClientCall) {
        let Some(call_domain) = self.call_domain(&call) else {
            return self.refuse(&to, CallRefusal::NoLeader);
        };
        let local = call_domain == self.identity.domain;
        let is_forwarded = matches!(to, ReplyTo::Peer(..));
        match &mut self.leader {
            Some(leader) if (local || is_forwarded) && leader.active => {
                self.handle_as_leader(now, to, call);
            }
            Some(leader) if local && leader.deferred_calls.len() < MAX_DEFERRED_CALLS => {
                leader.deferred_calls.push((to, call));
            }
            _ if is_forwarded => self.refuse(&to, CallRefusal::NoLeader),
            _ => self.forward_call(now, &to, &call_domain, call),
        }
    }

    /// Forwards a call to the leader of a failure domain.
    fn forward_call(
        &mut self,
        now: Instant,
        to: &ReplyTo,
        call_domain: &DomainId,
        call: ClientCall,
    ) {
        let Some(leader) = self.peers.leader_of(now, call_domain) else {
            return self.refuse(to, CallRefusal::NoLeader);
        };
        let ReplyTo::Client(id) = to else {
            return;
        };
        let dropped = self.peers.track_forwarded_call(now, *id, leader.clone(), call.clone());
        if let Some(id) = dropped {
            self.refuse(&ReplyTo::Client(id), CallRefusal::Busy);
        }
        self.send_peer(&leader, PeerMessage::Call(*id, call));
    }

    fn handle_as_leader(&mut self, now: Instant, to: ReplyTo, call: ClientCall) {
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
        let ids: Vec<_> = ids.take(MAX_LISTED_JOBS).collect();
        let views = ids.iter().filter_map(|id| self.view_job(id)).collect();
        self.reply(to, ClientAnswer::Jobs(views));
    }

    /// Refuses a forwarded call that was not answered in time. A call that only reads may be
    /// repeated; the outcome of any other call is unknown.
    pub(crate) fn refuse_overdue_call(&mut self, id: u64, call: &ClientCall) {
        let refusal = match call {
            ClientCall::Job(_) | ClientCall::Jobs { .. } => CallRefusal::NoLeader,
            _ => CallRefusal::Unknown,
        };
        self.refuse(&ReplyTo::Client(id), refusal);
    }
}
