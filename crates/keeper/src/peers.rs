//! Heartbeats to other keepers, and permits borrowed from them.

use {
    crate::state::Keeper,
    egret_core::{Loan, Member},
    egret_runtime::{
        Body, BorrowPermitsMsg, HeartbeatMsg, HeartbeatReplyMsg, Link, SuspectMsg, now,
    },
    faststr::FastStr,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// How often heartbeats are sent, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 400;

/// How long the answer to a heartbeat may take, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 1000;

/// Sends heartbeats for ever.
pub(crate) async fn send_heartbeats(keeper: Arc<Keeper>) {
    loop {
        tokio::time::sleep(Duration::from_millis(HEARTBEAT_INTERVAL_MS)).await;
        let watched: Vec<Member> = {
            let members = keeper.hosts.members().lock();
            let watched = members.heartbeat_peers(&keeper.host, keeper.cfg.ownership.watched);
            watched.into_iter().cloned().collect()
        };
        for member in watched {
            tokio::spawn(send_heartbeat(keeper.clone(), member));
        }
    }
}

async fn send_heartbeat(keeper: Arc<Keeper>, member: Member) {
    let Some(link) = open_link(&keeper, &member).await else {
        return;
    };
    let beat = HeartbeatMsg {
        is_entry: false,
        revision: keeper.config.current().revision,
        suspects: suspect_messages(&keeper),
        stopping: keeper.is_stopping(),
        ..HeartbeatMsg::default()
    };
    let answer = link.call(Body::Heartbeat(beat), now().after_ms(ANSWER_TIMEOUT_MS)).await;
    match answer {
        Ok(Body::HeartbeatReply(view)) => apply_view(&keeper, &member.host, &view),
        // silent or broken: the next heartbeat opens a new link
        _ => keeper.links.close(&member.host),
    }
}

fn apply_view(keeper: &Keeper, host: &FastStr, view: &HeartbeatReplyMsg) {
    keeper.hosts.members().lock().record_heartbeat(now(), host, view.stopping);
    keeper.config.apply_if_newer(&view.config);
    merge_suspects(keeper, &view.suspects);
}

/// What this keeper knows of crash suspects.
pub(crate) fn suspect_messages(keeper: &Keeper) -> Vec<SuspectMsg> {
    let records = keeper.suspects.lock().records(now());
    records.into_iter().map(SuspectMsg::from).collect()
}

/// Takes what another process knows of crash suspects.
pub(crate) fn merge_suspects(keeper: &Keeper, messages: &[SuspectMsg]) {
    let mut suspects = keeper.suspects.lock();
    for message in messages {
        suspects.merge(now(), (*message).into());
    }
}

/// Asks one of the other keepers, each time another one, for permits.
pub(crate) async fn borrow_permits(keeper: Arc<Keeper>, count: usize) {
    let members: Vec<Member> = {
        let members = keeper.hosts.members().lock();
        let watched = members.heartbeat_peers(&keeper.host, keeper.cfg.ownership.watched);
        watched.into_iter().cloned().collect()
    };
    if members.is_empty() {
        return;
    }
    let turn = usize::try_from(now().as_millis() / 200).unwrap_or(0) % members.len();
    let Some(link) = open_link(&keeper, &members[turn]).await else {
        return;
    };
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    let asked = now();
    let answer = link
        .call(Body::BorrowPermits(BorrowPermitsMsg { count }), asked.after_ms(ANSWER_TIMEOUT_MS))
        .await;
    let Ok(Body::PermitLoans(loans)) = answer else {
        return;
    };
    let mut permits = keeper.permits.lock();
    for loan in loans.loans {
        let number = u16::try_from(loan.permit_id).unwrap_or(u16::MAX);
        let loan = Loan { number, duration_ms: loan.valid_ms, start_delay_ms: loan.start_delay_ms };
        permits.add_borrowed(now(), asked, loan);
    }
}

async fn open_link(keeper: &Keeper, member: &Member) -> Option<Arc<Link>> {
    let address = SocketAddr::new(member.ip, keeper.cfg.links.port());
    keeper.links.get_or_connect(&member.host, address).await
}
