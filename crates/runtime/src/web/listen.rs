//! Opens listeners.

use {
    crate::event::events,
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        net::{TcpListener, TcpSocket},
        time::{Instant, sleep},
    },
};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// Time for which an address may still be in use: a process that was killed keeps its sockets until the
/// system has ended it.
const IN_USE_MAX: Duration = Duration::from_secs(3);

/// Pause between attempts.
const PAUSE: Duration = Duration::from_millis(20);

/// Sizes of the system's buffers for each accepted connection, in bytes. The system doubles them.
#[derive(Clone, Copy, Debug, Default)]
pub struct SocketBuffers {
    /// For what the client has not read yet; the system's default if it is not set.
    pub send: Option<u32>,
    /// For what was received and not read; the system's default, which grows, if it is not set.
    pub receive: Option<u32>,
}

/// Listens on `address`, also if the process that used it before is still ending. Accepted connections
/// have these buffers.
///
/// # Errors
///
/// When the address can't be bound, or is in use for more than three seconds.
pub async fn listen(address: SocketAddr, buffers: SocketBuffers) -> io::Result<TcpListener> {
    let give_up_at = Instant::now() + IN_USE_MAX;
    let mut is_waiting = false;
    loop {
        match try_listen(address, buffers) {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && Instant::now() < give_up_at => {
                if !is_waiting {
                    events::ADDRESS_IN_USE.info(format_args!("address={address}"));
                }
                is_waiting = true;
                sleep(PAUSE).await;
            }
            result => return result,
        }
    }
}

fn try_listen(address: SocketAddr, buffers: SocketBuffers) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    if let Some(bytes) = buffers.send {
        socket.set_send_buffer_size(bytes)?;
    }
    if let Some(bytes) = buffers.receive {
        socket.set_recv_buffer_size(bytes)?;
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
