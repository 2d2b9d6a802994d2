//! Crowds of clients that do not behave, at real edge processes.
//!
//! The host is told that its machine is small. Whatever the crowd sends, the process lives, stays within the
//! memory and descriptors of that machine, and answers an ordinary caller while the crowd is still connected.

mod answers;
mod bodies;
mod crowd;
mod heads;
mod listeners;
#[path = "../edge/raw.rs"]
#[allow(dead_code, reason = "shared with the other tests of edge processes")]
mod raw;
#[path = "../edge/support.rs"]
#[allow(dead_code, reason = "shared with the other tests of edge processes")]
mod support;
