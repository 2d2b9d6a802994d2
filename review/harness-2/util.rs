//! Time, the record of a run, and small encodings.

use std::{
    fs::{File, OpenOptions},
    io::Write,
    net::{IpAddr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// What was sent, answered and run: a line each, from all processes of a case.
#[derive(Clone)]
pub struct Record {
    pub path: PathBuf,
    file: Arc<File>,
}

impl Record {
    pub fn open(path: &Path) -> Self {
        let file = OpenOptions::new().create(true).append(true).open(path).expect("a record file");
        Self { path: path.to_owned(), file: Arc::new(file) }
    }

    pub fn line(&self, text: &str) {
        let line = format!("{} {text}\n", unix_ms());
        let _ = (&*self.file).write_all(line.as_bytes());
    }

    /// The lines so far, each with its time.
    pub fn lines(&self) -> Vec<(u64, String)> {
        let text = std::fs::read_to_string(&self.path).unwrap_or_default();
        let split = text.lines().filter_map(|line| line.split_once(' '));
        split.filter_map(|(at, rest)| Some((at.parse().ok()?, rest.to_owned()))).collect()
    }
}

/// A free address on `ip`.
pub fn free_address(ip: &str) -> SocketAddr {
    let ip: IpAddr = ip.parse().expect("an address");
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            let index = (word >> (18 - 6 * digit) & 63) as usize;
            text.push(if digit <= chunk.len() { char::from(DIGITS[index]) } else { '=' });
        }
    }
    text
}
