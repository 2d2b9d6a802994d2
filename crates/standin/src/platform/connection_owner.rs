//! Finds the process behind a connection, so that a stand-in can tell the hosts of a test apart.

use {
    socket2::{Domain, Protocol, Socket, Type},
    std::{
        fs,
        io::{self, Read, Write},
        net::{SocketAddr, SocketAddrV4},
        time::Duration,
    },
};

/// Netlink's address family and its protocol for questions about sockets (`sock_diag(7)`).
const AF_NETLINK: i32 = 16;
const NETLINK_SOCK_DIAG: i32 = 4;

/// Types of messages.
const SOCK_DIAG_BY_FAMILY: u16 = 20;
const NLM_F_REQUEST: u16 = 1;

/// Lengths and positions in bytes.
const HEADER_LEN: usize = 16;
const REQUEST_LEN: usize = HEADER_LEN + 56;
const INODE_AT: usize = HEADER_LEN + 68;

const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// True if `process` owns the end at `address` of the connection to `peer`. Linux and IPv4 only.
///
/// The table in `/proc/net/tcp` would tell it as well, but reading it takes longer than hosts wait for a
/// connection once some thousand sockets are open.
pub(super) fn owns_connection(process: u32, address: SocketAddr, peer: SocketAddr) -> bool {
    let (SocketAddr::V4(address), SocketAddr::V4(peer)) = (address, peer) else {
        return false;
    };
    let Ok(Some(inode)) = find_inode(address, peer) else {
        return false;
    };
    let socket = format!("socket:[{inode}]");
    let files = fs::read_dir(format!("/proc/{process}/fd")).into_iter().flatten().flatten();
    files
        .filter_map(|file| fs::read_link(file.path()).ok())
        .any(|link| link.as_os_str() == &*socket)
}

// the inode of the socket with these addresses, if there is one
fn find_inode(local: SocketAddrV4, remote: SocketAddrV4) -> io::Result<Option<u32>> {
    let mut socket = Socket::new(
        Domain::from(AF_NETLINK),
        Type::DGRAM,
        Some(Protocol::from(NETLINK_SOCK_DIAG)),
    )?;
    socket.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    socket.write_all(&diag_request(local, remote))?;
    let mut answer = [0; 512];
    let length = socket.read(&mut answer)?;
    let is_found =
        length >= INODE_AT + 4 && u16::from_ne_bytes([answer[4], answer[5]]) == SOCK_DIAG_BY_FAMILY;
    let inode = answer[INODE_AT..INODE_AT + 4].try_into().map(u32::from_ne_bytes);
    Ok(inode.ok().filter(|inode| is_found && *inode != 0))
}

// `nlmsghdr` and `inet_diag_req_v2` for one socket
fn diag_request(local: SocketAddrV4, remote: SocketAddrV4) -> Vec<u8> {
    let mut request = Vec::with_capacity(REQUEST_LEN);
    request.extend(u32::try_from(REQUEST_LEN).unwrap_or_default().to_ne_bytes());
    request.extend(SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    request.extend(NLM_F_REQUEST.to_ne_bytes());
    request.extend([0; 8]);
    let (inet, tcp) = (Domain::IPV4, Protocol::TCP);
    for byte in [i32::from(inet), i32::from(tcp), 0, 0] {
        request.push(u8::try_from(byte).unwrap_or_default());
    }
    // in any state
    request.extend([0xff; 4]);
    request.extend(local.port().to_be_bytes());
    request.extend(remote.port().to_be_bytes());
    for address in [local.ip(), remote.ip()] {
        request.extend(address.octets());
        request.extend([0; 12]);
    }
    // at any interface, without a cookie
    request.extend([0; 4]);
    request.extend([0xff; 8]);
    request
}
