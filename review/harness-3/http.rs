//! HTTP/1.1 for the stand-ins: one thread for each connection.

use std::{
    collections::HashMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request as a server has read it. Header names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.query.get(name).and_then(|text| text.parse().ok())
    }
}

/// What a server does with a request.
pub enum Reply {
    Whole { status: u16, headers: Vec<(String, String)>, body: Vec<u8> },
    /// Ends the connection without an answer.
    Hang,
    /// Sends nothing, and leaves the connection open until the peer closes it.
    Silent,
    /// The handler has written the answer itself. True keeps the connection.
    Written(bool),
}

pub fn whole(status: u16, body: impl Into<Vec<u8>>) -> Reply {
    Reply::Whole { status, headers: Vec::new(), body: body.into() }
}

pub type Handler = dyn Fn(&Request, &mut TcpStream) -> Reply + Send + Sync;

/// Serves connections on `listener` for ever.
pub fn serve(listener: TcpListener, handler: Arc<Handler>) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = handle_connection(stream, &*handler);
            });
        }
    });
}

/// Serves one connection until it ends.
pub fn handle_connection(
    mut stream: TcpStream,
    handler: &dyn Fn(&Request, &mut TcpStream) -> Reply,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_request(&mut reader)? {
        match handler(&request, &mut stream) {
            Reply::Hang => return Ok(()),
            Reply::Silent => {
                let _ = io::copy(&mut reader, &mut io::sink());
                return Ok(());
            }
            Reply::Written(true) => {}
            Reply::Written(false) => return Ok(()),
            Reply::Whole { status, headers, body } => {
                let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
                for (name, value) in headers {
                    head.push_str(&format!("{name}: {value}\r\n"));
                }
                head.push_str("\r\n");
                let mut bytes = head.into_bytes();
                bytes.extend_from_slice(&body);
                stream.write_all(&bytes)?;
            }
        }
    }
    Ok(())
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let mut request = Request {
        method: words.next().unwrap_or("").to_owned(),
        ..Request::default()
    };
    let target = words.next().unwrap_or("").to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    request.path = path.to_owned();
    for pair in query.split('&') {
        if let Some((name, value)) = pair.split_once('=') {
            request.query.insert(name.to_owned(), decode(value));
        }
    }
    request.headers = read_headers(reader)?;
    let length: usize = request.header("content-length").parse().unwrap_or(0);
    request.body = vec![0; length];
    reader.read_exact(&mut request.body)?;
    Ok(Some(request))
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok()))
            .flatten();
        decoded.push(code.unwrap_or(bytes[at]));
        at += if code.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> io::Result<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// What a client has got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// False if the answer broke off.
    pub is_whole: bool,
}

/// Sends one request on a new connection and reads its answer, which may break off.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(String, String)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line.split_whitespace().nth(1).and_then(|text| text.parse().ok());
    let Some(status) = status else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let headers = read_headers(&mut reader)?;
    let mut answer = Answer { status, headers, ..Answer::default() };
    answer.is_whole = read_body(&mut reader, &answer.headers, &mut answer.body).is_ok();
    Ok(answer)
}

fn read_body(
    reader: &mut BufReader<TcpStream>,
    headers: &HashMap<String, String>,
    body: &mut Vec<u8>,
) -> io::Result<()> {
    if headers.get("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let length = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk)?;
            if length == 0 {
                return Ok(());
            }
            body.extend_from_slice(&chunk[..length]);
        }
    }
    let length = headers.get("content-length").and_then(|value| value.parse::<usize>().ok());
    match length {
        Some(length) => {
            let start = body.len();
            body.resize(start + length, 0);
            reader.read_exact(&mut body[start..])
        }
        None => reader.read_to_end(body).map(|_| ()),
    }
}
