//! Hand-written HTTP/1.1, so that faults can violate the protocol.

use {
    http::{HeaderMap, HeaderName, HeaderValue},
    std::io,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

const HEADERS_MAX: usize = 64;

/// A request as read from its connection.
/// Filler of answers without end that is written at once.
const FILLER_BYTES: usize = 64 * 1024;

/// Filler after which an answer without end stays silent.
const ENDLESS_BYTES_MAX: usize = 64 * 1024 * 1024;

#[derive(Clone, Debug)]
pub(crate) struct RawRequest {
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Vec<u8>,
}

impl RawRequest {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// The value of a query parameter.
    pub(crate) fn query_param(&self, name: &str) -> Option<&str> {
        let query = self.path.split_once('?')?.1;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

/// A connection that reads requests and writes raw responses.
#[derive(Debug)]
pub(crate) struct RawConn {
    pub(crate) stream: TcpStream,
    buf: Vec<u8>,
}

impl RawConn {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self { stream, buf: Vec::new() }
    }

    /// Reads the next request. Returns `None` at the end of the connection.
    pub(crate) async fn read_request(&mut self) -> io::Result<Option<RawRequest>> {
        loop {
            if let Some((request, length)) = parse_request(&self.buf)? {
                self.buf.drain(..length);
                return Ok(Some(request));
            }
            let mut chunk = [0; 8192];
            let count = self.stream.read(&mut chunk).await?;
            if count == 0 {
                return Ok(None);
            }
            self.buf.extend_from_slice(&chunk[..count]);
        }
    }

    /// Waits for the first byte of a request. Returns false at the end of the connection.
    pub(crate) async fn wait_for_request(&self) -> bool {
        !self.buf.is_empty() || self.stream.peek(&mut [0; 1]).await.is_ok_and(|count| count > 0)
    }

    /// Waits for the head of a request and returns the request's id, without consuming any bytes.
    pub(crate) async fn peek_request_id(&mut self) -> io::Result<Option<String>> {
        let mut buf = vec![0; 16_384];
        loop {
            let count = self.stream.peek(&mut buf).await?;
            if count == 0 {
                return Ok(None);
            }
            let text = String::from_utf8_lossy(&buf[..count]);
            if let Some((head, _)) = text.split_once("\r\n\r\n") {
                let is_id = |line: &&str| line.to_ascii_lowercase().starts_with("request-id:");
                let id = head.lines().find(is_id).and_then(|line| line.split_once(':'));
                return Ok(Some(id.map_or("", |(_, id)| id.trim()).to_owned()));
            }
            tokio::task::yield_now().await;
        }
    }

    /// Discards all input until the peer closes the connection.
    pub(crate) async fn wait_for_close(&mut self) {
        let mut chunk = [0; 1024];
        while self.stream.read(&mut chunk).await.is_ok_and(|count| count > 0) {}
    }

    pub(crate) async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Writes a response with a `Content-Length`.
    pub(crate) async fn write_response(
        &mut self,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        self.write(&response_head(status, headers, Some(body.len()))).await?;
        self.write(body).await
    }

    /// Writes `head` and then filler until the peer closes the connection: further bytes of the head
    /// if `head` does not end it, else chunks, the first of which begins with `first_chunk`.
    pub(crate) async fn write_endless(&mut self, head: &[u8], first_chunk: &[u8]) {
        let is_body = head.ends_with(b"\r\n\r\n");
        let mut filler = vec![b'x'; FILLER_BYTES];
        if is_body {
            filler = [format!("{FILLER_BYTES:x}\r\n").as_bytes(), &filler, b"\r\n"].concat();
        }
        let size = format!("{:x}\r\n", first_chunk.len());
        let first = match first_chunk {
            [] => Vec::new(),
            chunk => [size.as_bytes(), chunk, b"\r\n"].concat(),
        };
        if self.write(head).await.is_err() || self.write(&first).await.is_err() {
            return;
        }
        // bounded, so that a caller that reads it all fails a test and not the machine
        for _ in 0..ENDLESS_BYTES_MAX / FILLER_BYTES {
            if self.write(&filler).await.is_err() {
                return;
            }
        }
        self.wait_for_close().await;
    }

    /// Resets the connection.
    pub(crate) fn reset(self) {
        // closing a socket with a linger time of zero sends a reset
        let _ = self.stream.set_zero_linger();
    }
}

/// The head of a response. Without a length the body is chunked or ends with the connection.
pub(crate) fn response_head(
    status: u16,
    headers: &[(&str, &str)],
    length: Option<usize>,
) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        text.push_str(name);
        text.push_str(": ");
        text.push_str(value);
        text.push_str("\r\n");
    }
    if let Some(length) = length {
        text.push_str("Content-Length: ");
        text.push_str(&length.to_string());
        text.push_str("\r\n");
    }
    text.push_str("\r\n");
    text.into_bytes()
}

fn parse_request(buf: &[u8]) -> io::Result<Option<(RawRequest, usize)>> {
    let mut parsed = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut request = httparse::Request::new(&mut parsed);
    let httparse::Status::Complete(head_length) = request.parse(buf).map_err(io::Error::other)?
    else {
        return Ok(None);
    };
    let mut headers = HeaderMap::new();
    for header in request.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).map_err(io::Error::other)?;
        let value = HeaderValue::from_bytes(header.value).map_err(io::Error::other)?;
        headers.append(name, value);
    }
    let body_length = headers.get("content-length").and_then(|v| v.to_str().ok()?.parse().ok());
    let body_length: usize = body_length.unwrap_or(0);
    if buf.len() < head_length + body_length {
        return Ok(None);
    }
    let request = RawRequest {
        path: request.path.unwrap_or_default().to_owned(),
        headers,
        body: buf[head_length..head_length + body_length].to_vec(),
    };
    Ok(Some((request, head_length + body_length)))
}
