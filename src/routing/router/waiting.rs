//! Requests that wait for a slot.

use super::*;

impl RequestRouter {
    /// Expected wait behind the requests of the same or a more urgent rank. Those of the same rank
    /// with a later deadline are counted as well, so the result may be too long but not too short.
    pub(super) fn expected_wait(&self, service: &ServiceState, request: &SlotRequest) -> Duration {
        let ahead: usize = service.ranks.range(..=request.rank).map(|(_, count)| count).sum();
        let slots: u32 = service.upstreams.values().map(|upstream| upstream.share).sum();
        let rounds = (ahead as f64 + 1.0) / f64::from(slots.max(1));
        service.service_time.mul_f64(rounds)
    }

    pub(super) fn enqueue(&mut self, request: SlotRequest) {
        self.waiting += 1;
        *self.waiting_by_workspace.entry(request.workspace.clone()).or_default() += 1;
        let key = (request.rank, request.deadline, request.id);
        let service = self.services.entry(request.service.clone()).or_default();
        *service.ranks.entry(request.rank).or_default() += 1;
        service.waiting.insert(key, request);
    }

    pub(super) fn dequeue(&mut self, service: &ServiceId, key: &WaitingKey) -> Option<SlotRequest> {
        let state = self.services.get_mut(service)?;
        let request = state.waiting.remove(key)?;
        if let Some(count) = state.ranks.get_mut(&request.rank) {
            *count -= 1;
        }
        self.waiting -= 1;
        if let Some(count) = self.waiting_by_workspace.get_mut(&request.workspace) {
            *count -= 1;
            if *count == 0 {
                self.waiting_by_workspace.remove(&request.workspace);
            }
        }
        Some(request)
    }

    /// Keeps the queue within its limit: rejects the least urgent request of the workspace with the
    /// most waiting requests.
    pub(super) fn shed_excess(&mut self) -> Vec<RouteAction> {
        if self.waiting <= self.waiting_limit {
            return Vec::new();
        }
        let largest = self.waiting_by_workspace.iter().max_by_key(|(_, count)| **count);
        let Some(workspace) = largest.map(|(workspace, _)| workspace.clone()) else {
            return Vec::new();
        };
        let last = self
            .services
            .iter()
            .filter_map(|(id, service)| {
                let own = service.waiting.iter().rev().find(|(_, t)| t.workspace == workspace)?;
                Some((*own.0, id.clone()))
            })
            .max();
        let Some((key, service)) = last else {
            return Vec::new();
        };
        let wait = self.services.get(&service).map_or(MIN_RETRY_AFTER, |s| s.service_time);
        match self.dequeue(&service, &key) {
            Some(request) => {
                vec![RouteAction::Reject(request.id, RejectReason::Displaced, retry_after(wait))]
            }
            None => Vec::new(),
        }
    }

    /// Gives free slots of a service to waiting requests.
    pub(super) fn dispatch_waiting(
        &mut self,
        now: Instant,
        service: &ServiceId,
    ) -> Vec<RouteAction> {
        let mut actions = Vec::new();
        loop {
            let first = self.services.get(service).and_then(|s| s.waiting.keys().next().copied());
            let Some(key) = first else {
                return actions;
            };
            if key.1 <= now {
                if let Some(request) = self.dequeue(service, &key) {
                    actions.push(reject_overdue(request.id));
                }
                continue;
            }
            let Some(spec) = self.choose_upstream(now, service) else {
                return actions;
            };
            if let Some(request) = self.dequeue(service, &key) {
                actions.extend(self.send(now, &request, spec));
            }
        }
    }

    /// Removes a waiting request whose caller left.
    pub fn abandon(&mut self, request: &SlotRequest) {
        let key = (request.rank, request.deadline, request.id);
        self.dequeue(&request.service, &key);
    }
}
