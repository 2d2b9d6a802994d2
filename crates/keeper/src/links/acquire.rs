//! Handles ticket requests.

use {
    super::request_key,
    crate::{
        engines::{OwnedEngine, TicketDecision, run_effects},
        state::Keeper,
    },
    egret_core::{
        Fingerprint, ModelName, PriorityClass, Reason, RequestKey, RunPolicy, TicketEnd,
        TicketRequest,
    },
    egret_runtime::{AcquireMsg, Body, GrantMsg, Hello, RefuseMsg, now},
    faststr::FastStr,
    std::sync::Arc,
};

/// Refusal code for an engine that this keeper does not own, or for an entry that has not
/// registered yet. Entries do not pass it to callers.
const MOVED: &str = "moved";

/// Releases the ticket on drop if the request was not answered, which happens when the entry's link
/// ends while it waits.
struct ReleaseOnDrop<'a> {
    keeper: &'a Arc<Keeper>,
    engine: &'a Arc<OwnedEngine>,
    key: &'a RequestKey,
    is_answered: bool,
}

impl Drop for ReleaseOnDrop<'_> {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        self.engine.remove_waiter(self.key);
        let effects = self.engine.slots.lock().release(now(), self.key, TicketEnd::Unused);
        run_effects(self.keeper, self.engine, effects);
    }
}

/// Handles a ticket request. Waits until a ticket is granted or refused.
pub(super) async fn acquire(keeper: &Arc<Keeper>, hello: &Hello, msg: AcquireMsg) -> Body {
    let Some(engine) = keeper.engine(&msg.engine) else {
        return refusal_message(MOVED, 0);
    };
    let Some(request) = ticket_request(keeper, hello, &msg) else {
        return refusal_message(Reason::BadRequest.as_str(), 0);
    };
    if let RunPolicy::Refused(until) = keeper.suspects.lock().run_policy(now(), request.fingerprint)
    {
        return refusal_message(Reason::CrashSuspect.as_str(), now().ms_until(until));
    }
    let key = request.key.clone();
    let decision = engine.add_waiter(key.clone());
    let effects = {
        let mut slots = engine.slots.lock();
        if keeper.is_stopping() || !slots.has_registered(&key.entry, key.incarnation) {
            return refusal_message(MOVED, 0);
        }
        slots.acquire(now(), request)
    };
    let mut guard = ReleaseOnDrop { keeper, engine: &engine, key: &key, is_answered: false };
    run_effects(keeper, &engine, effects);
    let decision = decision.await;
    guard.is_answered = true;
    match decision {
        Ok(TicketDecision::Granted(grant)) => {
            Body::Grant(GrantMsg { fencing_token: grant.fencing_token, stall_ms: grant.stall_ms })
        }
        Ok(TicketDecision::Refused(refusal)) => {
            refusal_message(refusal.reason.as_str(), refusal.retry_after_ms)
        }
        Err(_) => refusal_message(MOVED, 0),
    }
}

fn refusal_message(reason: &str, retry_after_ms: u64) -> Body {
    Body::Refuse(RefuseMsg { reason: reason.to_owned(), retry_after_ms })
}

fn ticket_request(keeper: &Keeper, hello: &Hello, msg: &AcquireMsg) -> Option<TicketRequest> {
    let model: ModelName = msg.model.parse().ok()?;
    let fingerprint = Fingerprint(msg.fingerprint);
    let run_policy = keeper.suspects.lock().run_policy(now(), fingerprint);
    Some(TicketRequest {
        key: request_key(hello, &msg.key),
        model,
        caller: FastStr::new(&msg.caller),
        class: PriorityClass::from_name(&msg.class)?,
        deadline: now().after_ms(msg.remaining_ms),
        fingerprint,
        suspect: msg.suspect || run_policy != RunPolicy::Unrestricted,
        resident_copies: msg.resident_copies,
    })
}
