//! Crowds of clients that do not behave, and what a process holds meanwhile.

use {
    futures::stream::{self, StreamExt},
    std::{
        fs,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::AsyncWriteExt,
        net::TcpStream,
        task::JoinHandle,
        time::{sleep, timeout},
    },
};

/// Clients that send at the same time. The others have stopped, or have not begun.
const SENDING_MAX: usize = 200;

/// Longest time for which a client tries to send; a process may read no further.
const SENDING_TIME: Duration = Duration::from_secs(20);

/// Time for which a client sends that does not end by itself.
const ENDLESS_TIME: Duration = Duration::from_secs(3);

/// The process has read what it is going to read once it has hardly worked for this time.
const SETTLING: Duration = Duration::from_millis(500);

/// Processor time that an idle process uses in that time, in ticks of the system.
const IDLE_TICKS: u64 = 3;

/// Longest wait for that.
const SETTLING_MAX: Duration = Duration::from_mins(2);

const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// What one client sends before it stops. It keeps its connection open.
#[derive(Clone, Debug)]
pub struct Sent {
    /// All of them.
    pub bytes: Arc<[u8]>,
    /// Bytes of each write.
    pub write_bytes: usize,
    /// True if the bytes are sent again and again until the process closes the connection.
    pub is_endless: bool,
}

impl Sent {
    /// Sends `bytes` at once and stops.
    #[must_use]
    pub fn whole(bytes: Vec<u8>) -> Self {
        Self { write_bytes: bytes.len(), bytes: bytes.into(), is_endless: false }
    }

    /// Sends in writes of this many bytes.
    #[must_use]
    pub fn in_writes(self, write_bytes: usize) -> Self {
        Self { write_bytes, ..self }
    }

    /// Sends again and again until the connection is closed.
    #[must_use]
    pub fn without_end(self) -> Self {
        Self { is_endless: true, ..self }
    }
}

/// Lets `count` clients send to `address`. Returns their connections, which are open until they are dropped.
pub async fn send_crowd(
    address: SocketAddr,
    count: usize,
    sent: impl Fn(usize) -> Sent,
) -> Vec<Option<TcpStream>> {
    let sends = (0..count).map(|number| send(address, sent(number)));
    stream::iter(sends).buffer_unordered(SENDING_MAX).collect().await
}

// returns the connection, if there is one, to keep it open
async fn send(address: SocketAddr, sent: Sent) -> Option<TcpStream> {
    let mut stream = timeout(SENDING_TIME, TcpStream::connect(address)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let write = async {
        loop {
            for part in sent.bytes.chunks(sent.write_bytes) {
                if stream.write_all(part).await.is_err() {
                    return;
                }
            }
            if !sent.is_endless {
                return;
            }
        }
    };
    let time = if sent.is_endless { ENDLESS_TIME } else { SENDING_TIME };
    let _ = timeout(time, write).await;
    Some(stream)
}

/// Highest values of what a process has held so far.
#[derive(Debug, Default)]
struct Peaks {
    // bytes that were received and not read, in kilobytes
    unread_kb: AtomicU64,
    descriptors: AtomicU64,
}

/// Watches what a process holds.
#[derive(Debug)]
pub struct Holdings {
    process: u32,
    peaks: Arc<Peaks>,
    sampler: JoinHandle<()>,
}

impl Drop for Holdings {
    fn drop(&mut self) {
        self.sampler.abort();
    }
}

impl Holdings {
    /// Watches the process with this id, which listens at this IP address alone.
    #[must_use]
    pub fn watch(process: u32, address: SocketAddr) -> Self {
        let peaks = Arc::new(Peaks::default());
        let sampler = tokio::spawn(sample(process, address, peaks.clone()));
        Self { process, peaks, sampler }
    }

    /// Highest number of descriptors so far.
    #[must_use]
    pub fn descriptors(&self) -> u64 {
        self.peaks.descriptors.load(Ordering::Relaxed)
    }

    /// Most bytes that were received and not read, in kilobytes.
    #[must_use]
    pub fn unread_kb(&self) -> u64 {
        self.peaks.unread_kb.load(Ordering::Relaxed)
    }

    /// Waits until the process reads no further.
    pub async fn settle(&self) {
        let settled = async {
            let mut before = cpu_ticks(self.process);
            loop {
                sleep(SETTLING).await;
                let ticks = cpu_ticks(self.process);
                if ticks <= before + IDLE_TICKS {
                    return;
                }
                before = ticks;
            }
        };
        let _ = timeout(SETTLING_MAX, settled).await;
    }
}

async fn sample(process: u32, callers: SocketAddr, peaks: Arc<Peaks>) {
    loop {
        let descriptors = fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count);
        peaks.descriptors.fetch_max(descriptors as u64, Ordering::Relaxed);
        peaks.unread_kb.fetch_max(unread_bytes(callers) / 1024, Ordering::Relaxed);
        sleep(SAMPLE_INTERVAL).await;
    }
}

// processor time that a process has used so far
fn cpu_ticks(process: u32) -> u64 {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // the name of the program, in parentheses, may contain spaces
    let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
    fields.split_whitespace().skip(11).take(2).filter_map(|ticks| ticks.parse::<u64>().ok()).sum()
}

// bytes that were received and not read, on all connections to the address of a process
fn unread_bytes(address: SocketAddr) -> u64 {
    let SocketAddr::V4(address) = address else {
        return 0;
    };
    // the kernel prints an address as a number in the byte order of the machine
    let prefix = format!("{:08X}:", u32::from_ne_bytes(address.ip().octets()));
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let unread = table.lines().filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let &[_, local, _, state, queues, ..] = &fields[..] else {
            return None;
        };
        // the queue of a listener counts connections
        let is_open = state != "0A" && local.starts_with(&prefix);
        let (_, received) = queues.split_once(':').filter(|_| is_open)?;
        u64::from_str_radix(received, 16).ok()
    });
    unread.sum()
}
