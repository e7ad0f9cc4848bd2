//! Requests that wait for a slot.

use super::*;

impl RequestRouter {
    /// Expected wait behind the requests of the same or a more urgent rank; those of the same rank
    /// with a later deadline are counted as well, so that it errs on the long side.
    pub(super) fn expected_wait(&self, service: &ServiceState, ticket: &SlotRequest) -> Duration {
        let ahead: usize = service.ranks.range(..=ticket.rank).map(|(_, count)| count).sum();
        let slots: u32 = service.upstreams.values().map(|upstream| upstream.share).sum();
        let rounds = (ahead as f64 + 1.0) / f64::from(slots.max(1));
        service.service_time.mul_f64(rounds)
    }

    pub(super) fn enqueue(&mut self, ticket: SlotRequest) {
        self.waiting += 1;
        *self.waiting_by_workspace.entry(ticket.workspace.clone()).or_default() += 1;
        let key = (ticket.rank, ticket.deadline, ticket.id);
        let service = self.services.entry(ticket.service.clone()).or_default();
        *service.ranks.entry(ticket.rank).or_default() += 1;
        service.waiting.insert(key, ticket);
    }

    pub(super) fn dequeue(&mut self, service: &ServiceId, key: &WaitKey) -> Option<SlotRequest> {
        let state = self.services.get_mut(service)?;
        let ticket = state.waiting.remove(key)?;
        if let Some(count) = state.ranks.get_mut(&ticket.rank) {
            *count -= 1;
        }
        self.waiting -= 1;
        if let Some(count) = self.waiting_by_workspace.get_mut(&ticket.workspace) {
            *count -= 1;
            if *count == 0 {
                self.waiting_by_workspace.remove(&ticket.workspace);
            }
        }
        Some(ticket)
    }

    /// Keeps the queue within its bound: the workspace that waits most gives up its least urgent.
    pub(super) fn shed(&mut self) -> Vec<RouteAction> {
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
        let wait = self.services.get(&service).map_or(LEAST_RETRY_AFTER, |s| s.service_time);
        match self.dequeue(&service, &key) {
            Some(ticket) => {
                vec![RouteAction::Reject(ticket.id, RejectReason::Displaced, retry_after(wait))]
            }
            None => Vec::new(),
        }
    }

    /// Gives free slots of a service to those that wait.
    pub(super) fn serve(&mut self, now: Instant, service: &ServiceId) -> Vec<RouteAction> {
        let mut actions = Vec::new();
        loop {
            let first = self.services.get(service).and_then(|s| s.waiting.keys().next().copied());
            let Some(key) = first else {
                return actions;
            };
            if key.1 <= now {
                if let Some(ticket) = self.dequeue(service, &key) {
                    actions.push(overdue(ticket.id));
                }
                continue;
            }
            let Some(spec) = self.choose(now, service) else {
                return actions;
            };
            if let Some(ticket) = self.dequeue(service, &key) {
                actions.extend(self.send(now, &ticket, spec));
            }
        }
    }

    /// A caller left while its request waited.
    pub fn abandon(&mut self, ticket: &SlotRequest) {
        let key = (ticket.rank, ticket.deadline, ticket.id);
        self.dequeue(&ticket.service, &key);
    }
}
