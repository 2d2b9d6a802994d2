//! A request for a ticket.

use {
    super::key_of,
    crate::{
        engines::{EngineShard, Verdict, run_effects},
        state::Keeper,
    },
    egret_core::{Class, Fingerprint, ModelName, Reason, RequestKey, Standing, TicketEnd, Waiting},
    egret_runtime::{AcquireMsg, Body, GrantMsg, Hello, RefuseMsg, now},
    faststr::FastStr,
    std::sync::Arc,
};

/// Code of the answer that another keeper holds the engine, or that the entry has not
/// registered yet: no reason for a caller to hear of.
const MOVED: &str = "moved";

/// Gives the ticket back if the entry's link ends while it waits.
struct Abandoned<'a> {
    keeper: &'a Arc<Keeper>,
    shard: &'a Arc<EngineShard>,
    key: &'a RequestKey,
    answered: bool,
}

impl Drop for Abandoned<'_> {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        self.shard.forget(self.key);
        let effects = self.shard.slots.lock().release(now(), self.key, TicketEnd::Unused);
        run_effects(self.keeper, self.shard, effects);
    }
}

/// Answers a request for a ticket, which may take until one is free.
pub(super) async fn acquire(keeper: &Arc<Keeper>, hello: &Hello, msg: AcquireMsg) -> Body {
    let Some(shard) = keeper.engine(&msg.engine) else {
        return refuse(MOVED, 0);
    };
    let Some(waiting) = waiting(keeper, hello, &msg) else {
        return refuse(Reason::BadRequest.as_str(), 0);
    };
    if let Standing::Refused(until) = keeper.suspects.lock().standing(now(), waiting.fingerprint) {
        return refuse(Reason::CrashSuspect.as_str(), now().ms_until(until));
    }
    let key = waiting.key.clone();
    let verdict = shard.wait(key.clone());
    let effects = {
        let mut slots = shard.slots.lock();
        if keeper.stopping() || !slots.has_registered(&key.entry, key.incarnation) {
            return refuse(MOVED, 0);
        }
        slots.acquire(now(), waiting)
    };
    let mut guard = Abandoned { keeper, shard: &shard, key: &key, answered: false };
    run_effects(keeper, &shard, effects);
    let verdict = verdict.await;
    guard.answered = true;
    match verdict {
        Ok(Verdict::Granted(grant)) => {
            Body::Grant(GrantMsg { fencing_token: grant.fence, stall_ms: grant.stall_ms })
        }
        Ok(Verdict::Refused(refusal)) => refuse(refusal.reason.as_str(), refusal.retry_after_ms),
        Err(_) => refuse(MOVED, 0),
    }
}

fn refuse(reason: &str, retry_after_ms: u64) -> Body {
    Body::Refuse(RefuseMsg { reason: reason.to_owned(), retry_after_ms })
}

fn waiting(keeper: &Keeper, hello: &Hello, msg: &AcquireMsg) -> Option<Waiting> {
    let model: ModelName = msg.model.parse().ok()?;
    let fingerprint = Fingerprint(msg.fingerprint);
    let standing = keeper.suspects.lock().standing(now(), fingerprint);
    Some(Waiting {
        key: key_of(hello, &msg.key),
        model,
        caller: FastStr::new(&msg.caller),
        class: Class::from_name(&msg.class)?,
        deadline: now().after_ms(msg.remaining_ms),
        fingerprint,
        suspect: msg.suspect || standing != Standing::Clear,
        copies: msg.replica_count,
    })
}
