//! Client of the platform's append-only log service.

use {
    crate::web::{CallError, HttpClient},
    egret_core::Time,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::Value,
    std::net::SocketAddr,
    thiserror::Error,
};

/// Why the log gave no answer.
#[derive(Debug, Error)]
pub enum LogError {
    /// The append certainly did not happen, or the read gave nothing.
    #[error("log: {0}")]
    Refused(String),
    /// The append may have happened.
    #[error("log: no answer: {0}")]
    Unknown(String),
}

/// Answer to an append.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Appended {
    /// Offset of the first record appended.
    pub first: u64,
}

/// Records read from a stream.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Batch {
    /// Offset of the oldest record that the log still keeps.
    pub start: u64,
    /// Offset that the next record appended gets.
    pub end: u64,
    /// Offset of the first record in `records`.
    pub from: u64,
    /// The records, in the order of their offsets.
    pub records: Vec<Value>,
}

impl Batch {
    /// Offset after the last record in this batch.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.from + self.records.len() as u64
    }

    /// True when this batch reaches the end of the stream.
    #[must_use]
    pub fn reaches_end(&self) -> bool {
        self.next_offset() >= self.end
    }

    /// The records with their offsets; those that are not of type `T` come as none.
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
    /// A client of the log service at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address, client: HttpClient::pooled() }
    }

    /// Appends records to `stream`, all together.
    ///
    /// # Errors
    ///
    /// Tells whether the append certainly did not happen.
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
        // a service that answers anything but success may still have written
        if !reply.status.is_success() {
            let text = format!("status {}", reply.status);
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
    /// When the log gives no answer before `deadline`.
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
            return Err(LogError::Refused(format!("status {}", reply.status)));
        }
        reply.json().map_err(|e| LogError::Refused(e.to_string()))
    }
}
