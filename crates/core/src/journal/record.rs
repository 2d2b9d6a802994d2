//! Records of the journal stream.

use {
    faststr::FastStr,
    serde::{Deserialize, Serialize},
};

/// Identifies an idempotency key within its caller and service.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct KeyDigest(pub FastStr);

impl KeyDigest {
    /// Digest of a key that `caller` uses with `service`.
    #[must_use]
    pub fn new(caller: &str, service: &str, key: &str) -> Self {
        let text = serde_json::json!([caller, service, key]).to_string();
        Self(FastStr::from_string(crate::hex_digest(text.as_bytes())))
    }
}

/// Identifies one attempt to run a request across all processes.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// Host of the entry.
    pub entry: FastStr,
    /// Distinguishes restarts of that entry.
    pub incarnation: u64,
    /// Number of the attempt within that entry.
    pub number: u64,
}

/// The answer of a service, recorded for repeats of the request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: FastStr,
    /// Body, if it is short enough to be recorded.
    pub body: Option<FastStr>,
    /// Target that gave the answer.
    pub target: FastStr,
}

/// A record of the journal stream.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum JournalRecord {
    /// A request is about to be sent. The first open intent for a key wins.
    Intent {
        /// The key.
        key: KeyDigest,
        /// Digest of the request's body.
        body: FastStr,
        /// The attempt that is about to send it.
        attempt: Attempt,
        /// When the key expires, in milliseconds of Unix time.
        expires_unix_ms: u64,
    },
    /// The service answered.
    Done {
        /// The key.
        key: KeyDigest,
        /// The attempt that sent it.
        attempt: Attempt,
        /// The answer of the service.
        answer: RecordedAnswer,
    },
    /// Nothing was sent and nothing will be sent: the key is free again.
    NotSent {
        /// The key.
        key: KeyDigest,
        /// The attempt that was to send it.
        attempt: Attempt,
    },
}
