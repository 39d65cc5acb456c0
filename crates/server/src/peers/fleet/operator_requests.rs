//! Handles operators' requests (`umberloom fleet …`), which arrive on the fleet's port.

use std::time::{SystemTime, UNIX_EPOCH};

use slog::debug;
use umberloom_membership::Micros;

use super::replication::RequestSource;
use super::FleetActor;
use crate::wire::fleet::{
    encode_frame, FleetReply, FleetRequest, FleetRequestKind, FleetResponse, FleetView, FrameKind,
};
use crate::wire::replicated_store::{StoreRequest, StoreResponse};

impl FleetActor<'_> {
    /// Handles a sealed request that arrived on stream `stream_id`.
    pub(super) fn handle_request(&mut self, now: Micros, stream_id: u64, content: &[u8]) {
        let request = match self.key.open::<FleetRequest>(content, content.len()) {
            Ok(request) => request,
            Err(e) => return debug!(self.log, "operator request rejected"; "reason" => ?e),
        };
        let number = request.number;
        let reply = match request.kind {
            FleetRequestKind::Members => FleetReply::Members(self.view(now)),
            FleetRequestKind::Explain(name) => self.explain(now, &name),
            FleetRequestKind::Store(request) => {
                return self.handle_store_request(now, RequestSource { stream_id, number }, request);
            }
        };
        self.respond(stream_id, number, reply);
    }

    /// Seals a response and queues it on its stream; it is dropped if the stream has ended.
    pub(super) fn respond(&mut self, stream_id: u64, number: u64, reply: FleetReply) {
        let response = self.key.seal(&FleetResponse { number, reply });
        self.inbound.send(stream_id, encode_frame(FrameKind::Response, &response));
    }

    fn handle_store_request(&mut self, now: Micros, source: RequestSource, request: StoreRequest) {
        let Some(replication) = &mut self.replication else {
            let reason = "this server's file has no `record` in its fleet".to_owned();
            let reply = FleetReply::Store(StoreResponse::Rejected(reason));
            return self.respond(source.stream_id, source.number, reply);
        };
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let unix_ms = since_epoch.map_or(0, |since| since.as_millis() as u64);
        replication.handle_request(now, unix_ms, source, request);
    }

    /// The evidence for the state of a member, or the names of all members if `name` is none of them.
    fn explain(&mut self, now: Micros, name: &str) -> FleetReply {
        if let Some(evidence) = self.membership.explain(now, name) {
            return FleetReply::Explain(evidence);
        }
        let members = self.membership.members(now);
        FleetReply::UnknownMember(members.iter().map(|member| member.name.to_string()).collect())
    }

    /// This server's view of the fleet.
    fn view(&self, now: Micros) -> FleetView {
        let membership = &self.membership;
        let quotas = self.quotas.iter().map(|quota| (quota.dependency.to_string(), quota.status.clone()));
        let divergences = membership.view_divergences();
        FleetView {
            name: self.name.to_string(),
            boot: membership.boot_id(),
            standing: membership.partition_status(),
            sick: membership.health_score(),
            silenced: membership.is_fenced(),
            members: membership.members(now),
            allowances: quotas.collect(),
            disagreements: divergences.map(|view| (view.peer.to_string(), view.differences())).collect(),
            counts: membership.counts().clone(),
        }
    }
}
