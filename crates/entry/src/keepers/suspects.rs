//! What entries and keepers tell each other of crash suspects.

use {
    crate::state::Entry,
    egret_runtime::{Body, SuspectMsg, SuspectsMsg, now},
};

/// How long the keepers may take to hear of a suspect, in milliseconds.
const BROADCAST_TIMEOUT_MS: u64 = 500;

impl Entry {
    /// What this entry knows.
    pub(crate) fn suspect_messages(&self) -> Vec<SuspectMsg> {
        let records = self.suspects.lock().records(now());
        records.into_iter().map(SuspectMsg::from).collect()
    }

    /// Takes what a keeper knows.
    pub(crate) fn merge_suspects(&self, messages: &[SuspectMsg]) {
        let mut suspects = self.suspects.lock();
        for message in messages {
            suspects.merge(now(), (*message).into());
        }
    }

    /// Tells all keepers that this entry has a link to, and waits until they have heard.
    pub(crate) async fn broadcast_suspects(&self) {
        let suspects = self.suspect_messages();
        let deadline = now().after_ms(BROADCAST_TIMEOUT_MS);
        let tell = |link: std::sync::Arc<egret_runtime::Link>| {
            let body = Body::Suspects(SuspectsMsg { suspects: suspects.clone() });
            async move { link.call(body, deadline).await }
        };
        futures::future::join_all(self.links.open_links().into_iter().map(tell)).await;
    }
}
