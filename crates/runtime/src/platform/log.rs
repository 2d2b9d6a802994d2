//! Client of the platform's append-only log service.

use {
    crate::web::{CallError, HttpClient},
    egret_core::Time,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::Value,
    std::net::SocketAddr,
    thiserror::Error,
};

/// Reason why a request to the log failed.
#[derive(Debug, Error)]
pub enum LogError {
    /// The append was certainly not performed, or the read failed.
    #[error("log request failed: {0}")]
    Refused(String),
    /// The append may have been performed.
    #[error("outcome of the log append unknown: {0}")]
    Unknown(String),
}

/// Result of an append.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Appended {
    /// Offset of the first record appended.
    pub first: u64,
}

/// Records read from a stream.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Batch {
    /// Offset of the oldest record still in the log.
    pub start: u64,
    /// Offset of the next record to be appended.
    pub end: u64,
    /// Offset of the first record in `records`.
    pub from: u64,
    /// The records, ordered by offset.
    pub records: Vec<Value>,
}

impl Batch {
    /// Returns the offset after the last record of this batch.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.from + self.records.len() as u64
    }

    /// Returns true if this batch reaches the end of the stream.
    #[must_use]
    pub fn reaches_end(&self) -> bool {
        self.next_offset() >= self.end
    }

    /// Decodes the records, each with its offset. A record that is not of type `T` yields `None`.
    pub fn decode<T: DeserializeOwned>(self) -> impl Iterator<Item = (u64, Option<T>)> {
        let from = self.from;
        let numbered = self.records.into_iter().enumerate();
        numbered.map(move |(i, value)| (from + i as u64, serde_json::from_value(value).ok()))
    }
}

/// Client of the log service.
#[derive(Clone, Debug)]
pub struct LogClient {
    address: SocketAddr,
    client: HttpClient,
}

impl LogClient {
    /// Creates a client of the log service at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address, client: HttpClient::pooled() }
    }

    /// Appends `records` to `stream` in one request.
    ///
    /// # Errors
    ///
    /// [`LogError::Refused`] when the append was certainly not performed, [`LogError::Unknown`]
    /// when it may have been.
    pub async fn append<T: Serialize>(
        &self,
        stream: &str,
        records: &[T],
        deadline: Time,
    ) -> Result<Appended, LogError> {
        let path = format!("/v1/streams/{stream}/records");
        let body = serde_json::json!({ "records": records });
        let reply = self.client.post_json(self.address, &path, &body, deadline).await;
        let reply = reply.map_err(|e| match e {
            CallError::NotConnected(text) => LogError::Refused(text),
            other => LogError::Unknown(other.to_string()),
        })?;
        // after any error status but 503 the service may have written the records
        if !reply.status.is_success() {
            let text = format!("HTTP status {}", reply.status);
            return Err(if reply.status == http::StatusCode::SERVICE_UNAVAILABLE {
                LogError::Refused(text)
            } else {
                LogError::Unknown(text)
            });
        }
        reply.json().map_err(|e| LogError::Unknown(e.to_string()))
    }

    /// Reads records of `stream` from offset `from`, waiting up to `wait_ms` for the first.
    ///
    /// # Errors
    ///
    /// When the log gives no valid answer before `deadline`.
    pub async fn read(
        &self,
        stream: &str,
        from: u64,
        wait_ms: u64,
        deadline: Time,
    ) -> Result<Batch, LogError> {
        let path = format!("/v1/streams/{stream}/records?from={from}&wait_ms={wait_ms}");
        let reply = self.client.get(self.address, &path, deadline).await;
        let reply = reply.map_err(|e| LogError::Refused(e.to_string()))?;
        if !reply.status.is_success() {
            return Err(LogError::Refused(format!("HTTP status {}", reply.status)));
        }
        reply.json().map_err(|e| LogError::Refused(e.to_string()))
    }
}
