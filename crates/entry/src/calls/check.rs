//! Checks that an answer belongs to its request and comes from the adapter and version named.

use {
    egret_core::ModelName, faststr::FastStr, http::HeaderMap, serde::Deserialize, serde_json::Value,
};

/// What an answer must carry.
#[derive(Clone, Debug)]
pub(crate) struct Expected {
    pub(crate) request: FastStr,
    pub(crate) attempt: String,
    pub(crate) model: String,
}

/// The labels of a part of an answer.
#[derive(Debug, Deserialize)]
struct Labels {
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
pub(crate) enum Part {
    /// The next part.
    Next,
    /// A part that came before.
    Repeated,
    /// Not a part of this answer.
    Foreign,
}

impl Expected {
    /// What the answer to an attempt must carry.
    pub(crate) fn new(request: &FastStr, attempt: u32, model: &ModelName) -> Self {
        Self { request: request.clone(), attempt: attempt.to_string(), model: model.to_string() }
    }

    /// True when the head of an answer carries the labels of this attempt.
    pub(crate) fn head(&self, headers: &HeaderMap) -> bool {
        let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
        text("x-request-id") == Some(&self.request)
            && text("x-attempt") == Some(&self.attempt)
            && text("x-adapter") == Some(&self.model)
    }

    /// True when a whole JSON answer carries them.
    pub(crate) fn whole(&self, body: &[u8]) -> bool {
        let labels: Result<Labels, _> = serde_json::from_slice(body);
        labels.is_ok_and(|labels| self.matches(&labels))
    }

    /// Compares a part of a stream, where `expected_index` is the number of the next one.
    pub(crate) fn part(&self, value: &Value, expected_index: u64) -> Part {
        let Ok(labels) = Labels::deserialize(value) else {
            return Part::Foreign;
        };
        if !self.matches(&labels) {
            return Part::Foreign;
        }
        match labels.index {
            // a part that does not count its place is taken as the next one
            None => Part::Next,
            Some(index) if index == expected_index => Part::Next,
            Some(index) if index < expected_index => Part::Repeated,
            Some(_) => Part::Foreign,
        }
    }

    fn matches(&self, labels: &Labels) -> bool {
        labels.id == *self.request && labels.attempt == self.attempt && labels.model == self.model
    }
}
