//! Finds the process behind a connection, so that a stand-in can tell the hosts of a test apart.

use std::{fs, net::SocketAddr};

/// True if `process` owns the socket with the local address `address`. Linux only.
pub(super) fn owns_connection(process: u32, address: SocketAddr) -> bool {
    let sockets = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let Some(inode) = sockets.lines().find_map(|line| inode_of(line, address.port())) else {
        return false;
    };
    let socket = format!("socket:[{inode}]");
    let files = fs::read_dir(format!("/proc/{process}/fd")).into_iter().flatten().flatten();
    files
        .filter_map(|file| fs::read_link(file.path()).ok())
        .any(|link| link.as_os_str() == &*socket)
}

// the inode of an open connection with this local port
fn inode_of(line: &str, port: u16) -> Option<&str> {
    let fields: Vec<&str> = line.split_whitespace().collect();
    let (_, local_port) = fields.get(1)?.split_once(':')?;
    let is_open = *fields.get(3)? == "01";
    (is_open && u16::from_str_radix(local_port, 16).ok()? == port)
        .then(|| fields.get(9).copied())?
}
