//! Checks that an answer belongs to its request and comes from the adapter and version named.

use {
    egret_core::ModelName, faststr::FastStr, http::HeaderMap, serde::Deserialize, serde_json::Value,
};

/// What an answer must carry.
#[derive(Clone, Debug)]
pub(crate) struct ExpectedLabels {
    pub(crate) request_id: FastStr,
    pub(crate) attempt: String,
    pub(crate) model: String,
}

/// The labels of a part of an answer.
#[derive(Debug, Deserialize)]
struct AnswerLabels {
    #[serde(default)]
    id: String,
    #[serde(default)]
    attempt: String,
    #[serde(default)]
    model: String,
    index: Option<u64>,
}

/// What a part of a stream turned out to be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PartCheck {
    /// The next part.
    Next,
    /// A part that came before.
    Duplicate,
    /// Not a part of this answer.
    Mismatch,
}

impl ExpectedLabels {
    /// What the answer to an attempt must carry.
    pub(crate) fn new(request: &FastStr, attempt: u32, model: &ModelName) -> Self {
        Self { request_id: request.clone(), attempt: attempt.to_string(), model: model.to_string() }
    }

    /// True when the head of an answer carries the labels of this attempt.
    pub(crate) fn matches_head(&self, headers: &HeaderMap) -> bool {
        let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
        text("x-request-id") == Some(&self.request_id)
            && text("x-attempt") == Some(&self.attempt)
            && text("x-adapter") == Some(&self.model)
    }

    /// True when a whole JSON answer carries them.
    pub(crate) fn matches_body(&self, body: &[u8]) -> bool {
        let labels: Result<AnswerLabels, _> = serde_json::from_slice(body);
        labels.is_ok_and(|labels| self.matches_labels(&labels))
    }

    /// Compares a part of a stream, where `expected_index` is the number of the next one.
    pub(crate) fn check_part(&self, value: &Value, expected_index: u64) -> PartCheck {
        let Ok(labels) = AnswerLabels::deserialize(value) else {
            return PartCheck::Mismatch;
        };
        if !self.matches_labels(&labels) {
            return PartCheck::Mismatch;
        }
        match labels.index {
            // a part that does not count its place is taken as the next one
            None => PartCheck::Next,
            Some(index) if index == expected_index => PartCheck::Next,
            Some(index) if index < expected_index => PartCheck::Duplicate,
            Some(_) => PartCheck::Mismatch,
        }
    }

    fn matches_labels(&self, labels: &AnswerLabels) -> bool {
        labels.id == *self.request_id
            && labels.attempt == self.attempt
            && labels.model == self.model
    }
}
