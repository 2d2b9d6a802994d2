//! A request for a ticket.

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

/// Code of the answer that another keeper holds the engine, or that the entry has not
/// registered yet: no reason for a caller to hear of.
const MOVED: &str = "moved";

/// Gives the ticket back if the entry's link ends while it waits.
struct ReleaseOnDrop<'a> {
    keeper: &'a Arc<Keeper>,
    shard: &'a Arc<OwnedEngine>,
    key: &'a RequestKey,
    is_answered: bool,
}

impl Drop for ReleaseOnDrop<'_> {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        self.shard.remove_waiter(self.key);
        let effects = self.shard.slots.lock().release(now(), self.key, TicketEnd::Unused);
        run_effects(self.keeper, self.shard, effects);
    }
}

/// Answers a request for a ticket, which may take until one is free.
pub(super) async fn acquire(keeper: &Arc<Keeper>, hello: &Hello, msg: AcquireMsg) -> Body {
    let Some(shard) = keeper.engine(&msg.engine) else {
        return refusal_message(MOVED, 0);
    };
    let Some(waiting) = waiting_request(keeper, hello, &msg) else {
        return refusal_message(Reason::BadRequest.as_str(), 0);
    };
    if let RunPolicy::Refused(until) = keeper.suspects.lock().run_policy(now(), waiting.fingerprint)
    {
        return refusal_message(Reason::CrashSuspect.as_str(), now().ms_until(until));
    }
    let key = waiting.key.clone();
    let verdict = shard.add_waiter(key.clone());
    let effects = {
        let mut slots = shard.slots.lock();
        if keeper.is_stopping() || !slots.has_registered(&key.entry, key.incarnation) {
            return refusal_message(MOVED, 0);
        }
        slots.acquire(now(), waiting)
    };
    let mut guard = ReleaseOnDrop { keeper, shard: &shard, key: &key, is_answered: false };
    run_effects(keeper, &shard, effects);
    let verdict = verdict.await;
    guard.is_answered = true;
    match verdict {
        Ok(TicketDecision::Granted(grant)) => {
            Body::Grant(GrantMsg { fencing_token: grant.fence, stall_ms: grant.stall_ms })
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

fn waiting_request(keeper: &Keeper, hello: &Hello, msg: &AcquireMsg) -> Option<TicketRequest> {
    let model: ModelName = msg.model.parse().ok()?;
    let fingerprint = Fingerprint(msg.fingerprint);
    let standing = keeper.suspects.lock().run_policy(now(), fingerprint);
    Some(TicketRequest {
        key: request_key(hello, &msg.key),
        model,
        caller: FastStr::new(&msg.caller),
        class: PriorityClass::from_name(&msg.class)?,
        deadline: now().after_ms(msg.remaining_ms),
        fingerprint,
        suspect: msg.suspect || standing != RunPolicy::Unrestricted,
        resident_copies: msg.replica_count,
    })
}
