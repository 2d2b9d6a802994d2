//! Checks that an answer belongs to its request and comes from the requested adapter version.

use {
    egret_core::ModelName,
    faststr::FastStr,
    http::HeaderMap,
    serde::Deserialize,
    serde_json::Value,
    std::io::{BufReader, Read},
};

/// Labels that the answer to an attempt must carry.
#[derive(Clone, Debug)]
pub(crate) struct ExpectedLabels {
    pub(crate) request_id: FastStr,
    pub(crate) attempt: String,
    pub(crate) model: String,
}

/// Labels that an answer, or one part of a stream, carries.
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

/// Result of checking a part of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PartCheck {
    /// The part is the next one.
    Next,
    /// The part was received before.
    Duplicate,
    /// The part does not belong to this answer, or parts before it are missing.
    Mismatch,
}

impl ExpectedLabels {
    pub(crate) fn new(request_id: &FastStr, attempt: u32, model: &ModelName) -> Self {
        Self {
            request_id: request_id.clone(),
            attempt: attempt.to_string(),
            model: model.to_string(),
        }
    }

    /// Returns true if the response head carries the expected labels.
    pub(crate) fn matches_head(&self, headers: &HeaderMap) -> bool {
        let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
        text("x-request-id") == Some(&self.request_id)
            && text("x-attempt") == Some(&self.attempt)
            && text("x-adapter") == Some(&self.model)
    }

    /// Returns true if a complete JSON answer carries the expected labels.
    pub(crate) fn matches_body(&self, body: impl Read) -> bool {
        let labels: Result<AnswerLabels, _> = serde_json::from_reader(BufReader::new(body));
        labels.is_ok_and(|labels| self.matches_labels(&labels))
    }

    /// Checks a part of a stream. `expected_index` is the index of the next part.
    pub(crate) fn check_part(&self, value: &Value, expected_index: u64) -> PartCheck {
        let Ok(labels) = AnswerLabels::deserialize(value) else {
            return PartCheck::Mismatch;
        };
        if !self.matches_labels(&labels) {
            return PartCheck::Mismatch;
        }
        match labels.index {
            // A part without an index counts as the next one.
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
