//! Validates a complete request, charges its memory and passes it to admission.

use std::time::Instant;

use slog::{debug, warn};
use umberloom::interface::RequestId;

use super::{Connection, ConnectionContext, OpenRequest, REQUEST_OVERHEAD_BYTES};
use crate::memory::known_attempts::UnadmittedAttempt;
use crate::messages::caller::{HealthCheck, ReplyTo, Request, Response, WorkRequest};
use crate::messages::AdmissionMessage;
use crate::wire::cgi::{self, CgiRequest};
use crate::wire::fastcgi::ProtocolStatus;
use crate::wire::responder::DroppedContent;

/// A request whose parameters are valid.
enum ValidRequest {
    HealthCheck { is_deep: bool },
    Work(ValidWork),
}

/// A valid request for work, with the indices of its class and tenant in the settings.
struct ValidWork {
    request: Box<WorkRequest>,
    class: usize,
    tenant: usize,
}

/// Why a request is answered with HTTP status 400.
#[derive(Debug, thiserror::Error)]
enum InvalidRequest {
    #[error("longer than allowed")]
    TooLong,
    #[error(transparent)]
    Params(#[from] cgi::InvalidParams),
    #[error("arrival time or timeout out of range")]
    TimesOutOfRange,
    #[error("no HTTP_BUDGET_MS")]
    NoTimeout,
    #[error("unknown class")]
    UnknownClass,
    #[error("unknown tenant")]
    UnknownTenant,
    #[error("no tenant given")]
    NoTenant,
}

impl Connection {
    /// Returns the message for admission, or `None` if the request is answered here: while draining or
    /// without a free table entry, if it is not valid, or if there is no memory for it.
    pub(super) fn accept_request(
        &mut self,
        slot: u16,
        serial: u64,
        params: &[u8],
        body: Vec<u8>,
        dropped: Option<DroppedContent>,
    ) -> Option<AdmissionMessage> {
        // Requests read while draining are answered here: a response that has to wait for admission might not
        // be written before the process exits.
        if self.reject_until.is_some() || self.activity.closing.get() {
            self.answer_unadmitted(slot, serial, params, &body, dropped);
            self.draining = true;
            return None;
        }
        let reply_to = ReplyTo::new(self.own_mailbox.clone(), slot, serial);
        if dropped == Some(DroppedContent::OutOfMemory) {
            self.log_out_of_memory();
            self.answer_unidentified(slot, serial);
            return None;
        }
        let too_long = dropped == Some(DroppedContent::TooLong);
        let work = match validate(params, too_long, &self.context) {
            Ok(ValidRequest::HealthCheck { is_deep }) => {
                return Some(AdmissionMessage::HealthCheck(HealthCheck { is_deep, reply_to }));
            }
            Ok(ValidRequest::Work(work)) => work,
            Err(e) => {
                debug!(self.context.log, "invalid request"; "error" => %e);
                self.respond(slot, serial, &Response::BadRequest);
                return None;
            }
        };
        let bytes = params.len() + body.len() + REQUEST_OVERHEAD_BYTES;
        let Some(charge) = self.context.budget.charge(bytes) else {
            self.log_out_of_memory();
            self.answer_unadmitted_work(slot, serial, &work, &body);
            return None;
        };
        let id: RequestId = work.request.id.as_str().into();
        self.open_requests.insert(slot, OpenRequest { serial, id: Some(id.clone()) });
        Some(AdmissionMessage::Request(Box::new(Request {
            id,
            class: work.class,
            tenant: work.tenant,
            work: *work.request,
            body,
            reply_to,
            charge,
        })))
    }

    /// Logs that there was no memory for a request, at a limited rate.
    fn log_out_of_memory(&self) {
        let suppressed = self.context.out_of_memory_throttle.borrow_mut().record(Instant::now());
        let Some(suppressed) = suppressed else { return };
        warn!(self.context.log, "request rejected: out of memory"; "suppressed" => suppressed,
            "receiving_bytes" => self.context.budget.receiving(),
            "available_bytes" => self.context.budget.available());
    }

    /// Answers a request that can't be passed to admission.
    fn answer_unadmitted(
        &mut self,
        slot: u16,
        serial: u64,
        params: &[u8],
        body: &[u8],
        dropped: Option<DroppedContent>,
    ) {
        if dropped == Some(DroppedContent::OutOfMemory) {
            return self.answer_unidentified(slot, serial);
        }
        let too_long = dropped == Some(DroppedContent::TooLong);
        match validate(params, too_long, &self.context) {
            Ok(ValidRequest::Work(work)) => self.answer_unadmitted_work(slot, serial, &work, body),
            // These never run.
            Ok(ValidRequest::HealthCheck { .. }) | Err(_) => self.reject_overloaded(slot),
        }
    }

    /// Rejects a request, unless another attempt of it may have run.
    fn answer_unadmitted_work(&mut self, slot: u16, serial: u64, work: &ValidWork, body: &[u8]) {
        let clock = &self.context.clock;
        let read_delay = clock.unix().saturating_sub(work.request.received_at);
        let attempt = UnadmittedAttempt {
            class: work.class,
            tenant: work.tenant,
            idempotency_key: work.request.idempotency_key.as_deref(),
            body,
            arrived_at: clock.now().saturating_sub(read_delay),
        };
        match self.context.known_attempts.response_to(&attempt) {
            None => self.reject_overloaded(slot),
            // A peer that does not read its responses must not make them pile up.
            Some(Response::Served(_)) if !self.memory.may_read(self.unwritten_bytes()) => {
                self.respond(slot, serial, &Response::Failed);
            }
            Some(response) => self.respond(slot, serial, &response),
        }
    }

    /// Rejects a request whose parameters were not kept, unless it may be another attempt of one that may
    /// have run.
    fn answer_unidentified(&mut self, slot: u16, serial: u64) {
        if self.context.known_attempts.may_reject_unidentified() {
            self.reject_overloaded(slot);
        } else {
            self.respond(slot, serial, &Response::Failed);
        }
    }

    /// Rejects a request that was begun beyond the limit for a connection, unless it may be another attempt
    /// of one that may have run. A load balancer that has stopped waiting for requests which are still open
    /// here may come to the limit without knowing.
    pub(super) fn answer_unopened(&mut self, slot: u16) {
        if self.context.known_attempts.may_reject_unidentified() {
            self.responder.reject(slot, ProtocolStatus::Overloaded);
        } else {
            let content = cgi::encode_response(&Response::Failed, self.context.load_hint.get());
            self.responder.respond_unopened(slot, &content);
        }
    }

    fn reject_overloaded(&mut self, slot: u16) {
        self.open_requests.remove(&slot);
        self.responder.reject(slot, ProtocolStatus::Overloaded);
    }
}

fn validate(
    params: &[u8],
    too_long: bool,
    context: &ConnectionContext,
) -> Result<ValidRequest, InvalidRequest> {
    if too_long {
        return Err(InvalidRequest::TooLong);
    }
    let request = match cgi::parse_request(params)? {
        CgiRequest::HealthCheck(is_deep) => return Ok(ValidRequest::HealthCheck { is_deep }),
        CgiRequest::Work(request) => request,
    };
    if !request.has_plausible_times(context.clock.unix()) {
        return Err(InvalidRequest::TimesOutOfRange);
    }
    if context.shape.passes_deadline && request.timeout.is_none() {
        return Err(InvalidRequest::NoTimeout);
    }
    let class = context.classes.iter().position(|name| *name == request.class);
    let class = class.ok_or(InvalidRequest::UnknownClass)?;
    let tenant = find_tenant(request.tenant.as_ref(), &context.tenants)?;
    Ok(ValidRequest::Work(ValidWork { request: Box::new(request), class, tenant }))
}

/// Index of the request's tenant in the settings. 0 if no tenants are configured; otherwise every request
/// must name one.
fn find_tenant(name: Option<&String>, tenants: &[String]) -> Result<usize, InvalidRequest> {
    if tenants.is_empty() {
        return Ok(0);
    }
    let name = name.ok_or(InvalidRequest::NoTenant)?;
    tenants.iter().position(|tenant| tenant == name).ok_or(InvalidRequest::UnknownTenant)
}
