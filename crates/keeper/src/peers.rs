//! Sends heartbeats to other keepers and borrows permits from them.

use {
    crate::state::Keeper,
    egret_core::{Loan, Member},
    egret_runtime::{
        Body, BorrowPermitsMsg, HeartbeatMsg, HeartbeatReplyMsg, Link, SuspectMsg, now,
    },
    faststr::FastStr,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Interval of heartbeats, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 400;

/// Timeout for an answer from a peer, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 1000;

/// Sends heartbeats to this keeper's peers, forever.
pub(crate) async fn send_heartbeats(keeper: Arc<Keeper>) {
    loop {
        tokio::time::sleep(Duration::from_millis(HEARTBEAT_INTERVAL_MS)).await;
        let peers: Vec<Member> = {
            let members = keeper.hosts.members().lock();
            let peers = members.heartbeat_peers(&keeper.host, keeper.cfg.ownership.watched);
            peers.into_iter().cloned().collect()
        };
        for member in peers {
            tokio::spawn(send_heartbeat(keeper.clone(), member));
        }
    }
}

async fn send_heartbeat(keeper: Arc<Keeper>, member: Member) {
    let Some(link) = open_link(&keeper, &member).await else {
        return;
    };
    let message = HeartbeatMsg {
        is_entry: false,
        revision: keeper.config.current().revision,
        suspects: suspect_messages(&keeper),
        stopping: keeper.is_stopping(),
        ..HeartbeatMsg::default()
    };
    let answer = link.call(Body::Heartbeat(message), now().after_ms(ANSWER_TIMEOUT_MS)).await;
    match answer {
        Ok(Body::HeartbeatReply(reply)) => apply_reply(&keeper, &member.host, &reply),
        // After a timeout or a broken link, the next heartbeat opens a new link.
        _ => keeper.links.close(&member.host),
    }
}

fn apply_reply(keeper: &Keeper, host: &FastStr, reply: &HeartbeatReplyMsg) {
    keeper.hosts.members().lock().record_heartbeat(now(), host, reply.stopping);
    keeper.config.apply_if_newer(&reply.config);
    merge_suspects(keeper, &reply.suspects);
}

/// Returns the crash suspects that this keeper knows.
pub(crate) fn suspect_messages(keeper: &Keeper) -> Vec<SuspectMsg> {
    let records = keeper.suspects.lock().records(now());
    records.into_iter().map(SuspectMsg::from).collect()
}

/// Merges crash suspects received from another process.
pub(crate) fn merge_suspects(keeper: &Keeper, messages: &[SuspectMsg]) {
    let mut suspects = keeper.suspects.lock();
    for message in messages {
        suspects.merge(now(), (*message).into());
    }
}

/// Borrows permits from one of this keeper's peers. The choice rotates every 200 ms, so that
/// successive calls try different peers.
pub(crate) async fn borrow_permits(keeper: Arc<Keeper>, count: usize) {
    let peers: Vec<Member> = {
        let members = keeper.hosts.members().lock();
        let peers = members.heartbeat_peers(&keeper.host, keeper.cfg.ownership.watched);
        peers.into_iter().cloned().collect()
    };
    if peers.is_empty() {
        return;
    }
    let index = usize::try_from(now().as_millis() / 200).unwrap_or(0) % peers.len();
    let Some(link) = open_link(&keeper, &peers[index]).await else {
        return;
    };
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    let requested_at = now();
    let answer = link
        .call(
            Body::BorrowPermits(BorrowPermitsMsg { count }),
            requested_at.after_ms(ANSWER_TIMEOUT_MS),
        )
        .await;
    let Ok(Body::PermitLoans(loans)) = answer else {
        return;
    };
    let mut permits = keeper.permits.lock();
    for loan in loans.loans {
        let number = u16::try_from(loan.number).unwrap_or(u16::MAX);
        let loan = Loan { number, duration_ms: loan.valid_ms, start_delay_ms: loan.start_delay_ms };
        permits.add_borrowed(now(), requested_at, loan);
    }
}

async fn open_link(keeper: &Keeper, member: &Member) -> Option<Arc<Link>> {
    let address = SocketAddr::new(member.ip, keeper.cfg.links.port());
    keeper.links.get_or_connect(&member.host, address).await
}
