//! The end of a connection whose remote host may still be sending.
//!
//! Closing a socket with unread bytes resets the connection, and the reset can overtake the answer: a
//! caller that is still sending a body would not learn that it was refused. So the sending side is closed
//! first, and what still arrives is dropped, for a bounded time and number of bytes.

use std::io;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// Time for which bytes that still arrive are dropped. A caller that has not read its answer by then is
/// reset.
const TIMEOUT: Duration = Duration::from_secs(1);
/// How many times the largest body is dropped at most: the refusal of a body of up to twice the limit is not
/// lost.
const MAX_BODIES: usize = 2;
/// Size in bytes of the buffer that they are dropped from.
const BUFFER_BYTES: usize = 4 << 10;

/// Closes a connection so that what was written to it arrives, while the remote host may be sending a body
/// that should have `body_bytes` at most.
pub async fn close(stream: TcpStream, body_bytes: usize) {
    let max_bytes = body_bytes.saturating_mul(MAX_BODIES);
    // It ends early if the connection breaks, and then nothing is left to close.
    let _ = tokio::time::timeout(TIMEOUT, drain(stream, max_bytes)).await;
}

async fn drain(mut stream: TcpStream, max_bytes: usize) -> io::Result<()> {
    stream.shutdown().await?;
    let mut dropped = 0;
    let mut buffer = [0; BUFFER_BYTES];
    while dropped < max_bytes {
        match stream.read(&mut buffer).await? {
            0 => break,
            read => dropped += read,
        }
    }
    Ok(())
}
