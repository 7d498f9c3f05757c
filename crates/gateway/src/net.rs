//! TCP connections that detect a dead remote host.
//!
//! A host behind a network partition or without power sends nothing, and a connection to it may stay
//! open for ever. Short keep-alive intervals detect this while this side waits, and a time-out for
//! unacknowledged data detects it while this side sends.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};

/// Idle time before the first keep-alive probe. It is more than a hundred round trips within a
/// region, and short compared with the seconds that a caller waits.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes after which the connection has failed.
const KEEPALIVE_RETRIES: u32 = 2;
/// Time after which a connection with unacknowledged data has failed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time-out for opening a connection. A lost SYN packet is sent again after one second, so a longer
/// time-out would only delay the detection of a dead server.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Bytes that the system may keep of what a caller has sent and this node has not read, before its own
/// bookkeeping. A caller 10 ms away sends 6 MB a second with it.
const UNREAD_BYTES: usize = 64 << 10;

/// Limits what the system keeps unread for each connection that `listener` accepts. What it chooses itself
/// grows to megabytes for callers that send fast, and counts as memory of the process.
pub fn limit_unread(listener: &TcpListener) {
    if let Err(error) = SockRef::from(listener).set_recv_buffer_size(UNREAD_BYTES) {
        tracing::warn!(event = "socket-option-refused", %error);
    }
}

/// Opens a connection.
///
/// # Errors
///
/// The error of the system, or [`io::ErrorKind::TimedOut`] after [`CONNECT_TIMEOUT`].
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    detect_dead_peer(&stream)?;
    Ok(stream)
}

/// Sets the options on `stream` that detect a dead remote host, and disables Nagle's algorithm.
///
/// # Errors
///
/// When the system rejects an option.
pub fn detect_dead_peer(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
