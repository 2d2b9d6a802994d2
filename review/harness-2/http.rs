//! HTTP/1.1 over plain sockets, as far as the stand-ins need it.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request as a stand-in has read it.
#[derive(Debug)]
pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| decode(value)).next()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
}

fn decode(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.as_bytes());
    while let Some((first, tail)) = rest.split_first() {
        rest = tail;
        if *first == b'%' && rest.len() >= 2 {
            let code = std::str::from_utf8(&rest[..2]).unwrap_or("3F");
            bytes.push(u8::from_str_radix(code, 16).unwrap_or(b'?'));
            rest = &rest[2..];
        } else {
            bytes.push(*first);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 || !line.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads the next request of a connection; none at its end.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let line = match read_line(reader) {
        Ok(line) => line,
        Err(_) => return Ok(None),
    };
    let mut words = line.split(' ');
    let target = words.nth(1).unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let length = find(&headers, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Request { target, headers, body }))
}

/// Writes a whole answer with its length.
pub fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// An answer as a client has read it.
#[derive(Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// True if the client can tell that the body is whole: by its length or its last chunk.
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// Sends a request on a new connection and reads the answer until `timeout`.
pub fn call(
    address: SocketAddr,
    head: &str,
    body: &[u8],
    timeout: Duration,
) -> Result<Answer, String> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, timeout.min(Duration::from_secs(1)))
        .map_err(|e| format!("not connected: {e}"))?;
    let _ = stream.set_nodelay(true);
    exchange(&mut stream, head, body, deadline)
}

/// Sends a request on an open connection and reads the answer until `deadline`.
pub fn exchange(
    stream: &mut TcpStream,
    head: &str,
    body: &[u8],
    deadline: Instant,
) -> Result<Answer, String> {
    let text = |e: io::Error| format!("connection: {e}");
    let mut bytes = head.as_bytes().to_vec();
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).map_err(text)?;
    let reader = Timed { stream: stream.try_clone().map_err(text)?, deadline };
    let mut reader = BufReader::new(reader);
    let line = read_line(&mut reader).map_err(text)?;
    let status = line.split(' ').nth(1).and_then(|word| word.parse().ok());
    let status = status.ok_or("no status")?;
    let headers = read_headers(&mut reader).map_err(text)?;
    let mut answer = Answer { status, headers, ..Answer::default() };
    let length = answer.header("content-length").and_then(|v| v.parse::<usize>().ok());
    let is_chunked = answer.header("transfer-encoding").is_some_and(|v| v.contains("chunked"));
    if is_chunked {
        answer.is_whole = read_chunks(&mut reader, &mut answer.body);
    } else if let Some(length) = length {
        let _ = reader.take(length as u64).read_to_end(&mut answer.body);
        answer.is_whole = answer.body.len() == length;
    } else {
        answer.is_whole = reader.read_to_end(&mut answer.body).is_ok();
    }
    Ok(answer)
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> bool {
    loop {
        let Ok(line) = read_line(reader) else {
            return false;
        };
        let size = line.split(';').next().unwrap_or_default().trim();
        let Ok(size) = usize::from_str_radix(size, 16) else {
            return false;
        };
        let mut chunk = vec![0; size];
        if reader.read_exact(&mut chunk).is_err() || read_line(reader).is_err() {
            return false;
        }
        if size == 0 {
            return true;
        }
        body.extend_from_slice(&chunk);
    }
}

// reads until a deadline
struct Timed {
    stream: TcpStream,
    deadline: Instant,
}

impl Read for Timed {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        self.stream.read(buf)
    }
}

/// A stream of events as a client has read it.
#[derive(Debug, Default)]
pub struct Events {
    pub status: u16,
    pub retry_after_ms: Option<u64>,
    /// Numbers and data.
    pub events: Vec<(u64, String)>,
    pub end: End,
}

/// How a stream ended at its client.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum End {
    /// It was whole.
    Whole,
    /// It broke off, or was never answered.
    #[default]
    Broken,
    /// The client left after a pause that was too long.
    Abandoned,
}

/// Sends a request whose answer is a stream, and reads it until a pause of `gap`.
pub fn read_stream(address: SocketAddr, head: &str, body: &[u8], gap: Duration) -> Events {
    let mut read = Events::default();
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return read;
    };
    let mut bytes = head.as_bytes().to_vec();
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    let _ = (stream.set_nodelay(true), stream.set_read_timeout(Some(gap)));
    if stream.write_all(&bytes).is_err() {
        return read;
    }
    let mut reader = BufReader::new(stream);
    if let Err(e) = read_events(&mut reader, &mut read) {
        let is_pause = matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut);
        read.end = if is_pause { End::Abandoned } else { End::Broken };
    }
    read
}

fn read_events(reader: &mut BufReader<TcpStream>, read: &mut Events) -> io::Result<()> {
    let line = read_line(reader)?;
    read.status = line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    let headers = read_headers(reader)?;
    let seconds = find(&headers, "retry-after").and_then(|v| v.parse::<f64>().ok());
    read.retry_after_ms = seconds.map(|seconds| (seconds * 1000.0) as u64);
    if find(&headers, "transfer-encoding").is_none() {
        return Ok(());
    }
    let mut text = String::new();
    loop {
        let size = usize::from_str_radix(read_line(reader)?.trim(), 16);
        let size = size.map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size];
        reader.read_exact(&mut chunk)?;
        read_line(reader)?;
        if size == 0 {
            read.end = End::Whole;
            return Ok(());
        }
        text.push_str(&String::from_utf8_lossy(&chunk));
        while let Some((event, rest)) = text.split_once("\n\n") {
            let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
            let number = field("id:").and_then(|v| v.trim().parse().ok()).unwrap_or(0);
            let data = field("data:").unwrap_or_default().trim().to_owned();
            read.events.push((number, data));
            text = rest.to_owned();
        }
    }
}
