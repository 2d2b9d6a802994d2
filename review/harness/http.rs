//! A small HTTP/1.1 server and client side, one thread for each connection.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Longest time that a client or a server of this program waits for bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Headers in the order in which they came, with lowercase names.
#[derive(Clone, Debug, Default)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// The first value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

/// A request with its whole body.
#[derive(Clone, Debug)]
pub struct Request {
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// A parameter of the query, undecoded.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

/// An answer with its whole body. `is_whole` is false if the connection ended before its end.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    pub is_whole: bool,
}

/// A connection with a read buffer.
pub struct Conn {
    reader: BufReader<TcpStream>,
}

impl Conn {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    /// Opens a connection.
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Self::new(TcpStream::connect_timeout(&address, timeout)?)
    }

    /// The underlying socket.
    pub fn socket(&self) -> &TcpStream {
        self.reader.get_ref()
    }

    /// Writes bytes as they are.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    fn read_line(&mut self) -> io::Result<Option<String>> {
        let mut line = Vec::new();
        if self.reader.read_until(b'\n', &mut line)? == 0 {
            return Ok(None);
        }
        while line.last().is_some_and(|byte| matches!(byte, b'\n' | b'\r')) {
            line.pop();
        }
        String::from_utf8(line).map(Some).map_err(io::Error::other)
    }

    fn read_headers(&mut self) -> io::Result<Headers> {
        let mut headers = Headers::default();
        while let Some(line) = self.read_line()? {
            if line.is_empty() {
                return Ok(headers);
            }
            let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
            headers.0.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
        Err(io::ErrorKind::UnexpectedEof.into())
    }

    fn read_exact(&mut self, length: usize, body: &mut Vec<u8>) -> io::Result<()> {
        let read = (&mut self.reader).take(length as u64).read_to_end(body)?;
        if read == length { Ok(()) } else { Err(io::ErrorKind::UnexpectedEof.into()) }
    }

    // appends the body to `body`, also the part that came before an error
    fn read_body(&mut self, headers: &Headers, body: &mut Vec<u8>) -> io::Result<()> {
        if headers.get("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
            loop {
                let line = self.read_line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
                let size = line.split(';').next().unwrap_or_default().trim();
                let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
                if size == 0 {
                    while self.read_line()?.is_some_and(|line| !line.is_empty()) {}
                    return Ok(());
                }
                self.read_exact(size, body)?;
                self.read_line()?;
            }
        }
        match headers.get("content-length") {
            Some(length) => {
                let length = length.parse().map_err(io::Error::other)?;
                self.read_exact(length, body)
            }
            None => Ok(()),
        }
    }

    /// Reads the next request; none at the end of the connection.
    pub fn read_request(&mut self) -> io::Result<Option<Request>> {
        let Some(line) = self.read_line()? else {
            return Ok(None);
        };
        let mut words = line.split(' ');
        let (Some(_method), Some(target)) = (words.next(), words.next()) else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        let target = target.to_owned();
        let headers = self.read_headers()?;
        let mut body = Vec::new();
        self.read_body(&headers, &mut body)?;
        Ok(Some(Request { target, headers, body }))
    }

    /// Reads an answer that has a length or chunks.
    pub fn read_answer(&mut self) -> io::Result<Answer> {
        let line = self.read_line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = line.split(' ').nth(1).and_then(|word| word.parse().ok());
        let status = status.ok_or(io::ErrorKind::InvalidData)?;
        let headers = self.read_headers()?;
        let mut body = Vec::new();
        let is_whole = self.read_body(&headers, &mut body).is_ok();
        Ok(Answer { status, body, is_whole })
    }

    /// Writes an answer with a length.
    pub fn answer(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {status} Status\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        self.write(&[head.as_bytes(), body].concat())
    }

    /// Writes a request with a length.
    pub fn request(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut head = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() {
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        self.write(&[head.as_bytes(), body].concat())
    }
}
