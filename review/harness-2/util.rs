//! Time, the record of a run, and small encodings.

use std::{
    fs::{File, OpenOptions},
    io::Write,
    net::{IpAddr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
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

/// First of the ports that are handed out, and their number. They lie below those that the system gives to
/// connections.
const PORTS: (u32, u32) = (10_000, 20_000);

/// A free address on `ip`. No port is handed out twice, and processes begin at different ones, since the
/// port is free until the program that gets it has started.
pub fn free_address(ip: &str) -> SocketAddr {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    let ip: IpAddr = ip.parse().expect("an address");
    loop {
        let number =
            std::process::id().wrapping_mul(97).wrapping_add(TAKEN.fetch_add(1, Ordering::Relaxed));
        let port = u16::try_from(PORTS.0 + number % PORTS.1).expect("a port");
        if TcpListener::bind((ip, port)).is_ok() {
            return SocketAddr::new(ip, port);
        }
    }
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
