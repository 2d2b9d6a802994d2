//! Finds the process behind a connection, so that a stand-in can tell the hosts of a test apart.

use std::{fs, net::SocketAddr};

/// True if `process` owns the socket with the local address `address`. Linux only.
pub(super) fn owns_connection(process: u32, address: SocketAddr) -> bool {
    let sockets = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    // tables of many thousand sockets are searched before they are split
    let port = format!(":{:04X} ", address.port());
    let mut lines = sockets.match_indices(&port).filter_map(|(at, _)| {
        let start = sockets[..at].rfind('\n')? + 1;
        sockets[start..].lines().next()
    });
    let Some(inode) = lines.find_map(|line| inode_of(line, &port)) else {
        return false;
    };
    let socket = format!("socket:[{inode}]");
    let files = fs::read_dir(format!("/proc/{process}/fd")).into_iter().flatten().flatten();
    files
        .filter_map(|file| fs::read_link(file.path()).ok())
        .any(|link| link.as_os_str() == &*socket)
}

// the inode of an open connection with this local port
fn inode_of<'a>(line: &'a str, port: &str) -> Option<&'a str> {
    let fields: Vec<&str> = line.split_whitespace().collect();
    let is_local = fields.get(1)?.ends_with(port.trim_end());
    let is_open = *fields.get(3)? == "01";
    (is_local && is_open).then(|| fields.get(9).copied())?
}
