//! TCP connections whose silence shows.
//!
//! A peer behind a partition, or one without power, answers nothing, and a
//! connection to it may stay open for ever. Short keep-alive probes show it while
//! this side waits, and a bound on unacknowledged data while it sends.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Silence after which the other side is probed: a good hundred round trips
/// within a region, and short against the seconds that a caller waits.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which the connection has failed.
const KEEPALIVE_RETRIES: u32 = 2;
/// Longest time for which sent data may stay unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time that a connection may take to open. One lost opening packet is
/// sent again after a second, so a longer wait would hide a server that is gone.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Opens a connection.
///
/// # Errors
///
/// What the system says, or [`io::ErrorKind::TimedOut`] after [`CONNECT`].
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    detect_dead_peer(&stream)?;
    Ok(stream)
}

/// Makes silence on `stream` show.
///
/// # Errors
///
/// When the system refuses an option.
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
