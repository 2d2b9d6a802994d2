//! Exchange of crash suspects with the keepers.

use {
    crate::state::Entry,
    egret_runtime::{Body, SuspectMsg, SuspectsMsg, now},
};

/// Timeout of a broadcast of crash suspects, in milliseconds.
const BROADCAST_TIMEOUT_MS: u64 = 500;

impl Entry {
    /// Returns the crash suspects that this entry knows.
    pub(crate) fn suspect_messages(&self) -> Vec<SuspectMsg> {
        let records = self.suspects.lock().records(now());
        records.into_iter().map(SuspectMsg::from).collect()
    }

    /// Merges crash suspects received from a keeper.
    pub(crate) fn merge_suspects(&self, messages: &[SuspectMsg]) {
        let mut suspects = self.suspects.lock();
        for message in messages {
            suspects.merge(now(), (*message).into());
        }
    }

    /// Sends the crash suspects to all linked keepers and waits for their answers.
    pub(crate) async fn broadcast_suspects(&self) {
        let suspects = self.suspect_messages();
        let deadline = now().after_ms(BROADCAST_TIMEOUT_MS);
        let send = |link: std::sync::Arc<egret_runtime::Link>| {
            let body = Body::Suspects(SuspectsMsg {
                suspects: suspects.clone(),
                ..SuspectsMsg::default()
            });
            async move { link.call(body, deadline).await }
        };
        futures::future::join_all(self.links.open_links().into_iter().map(send)).await;
    }
}
