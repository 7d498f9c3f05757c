//! The first token through rouille, which the house style names first, beside
//! the node's callers' port on hyper.

use std::io::{self, Read};
use std::time::{Duration, Instant};

use anyhow::{Result, anyhow};
use rouille::{Response, ResponseBody, Server};

/// Events of the answer.
const EVENTS: u32 = 20;
/// Time before each event.
const STEP: Duration = Duration::from_millis(50);
/// One event.
const EVENT: &[u8] = b"data: {}\n\n";

/// An answer whose events come one by one.
struct Paced {
    left: u32,
}

impl Read for Paced {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.left == 0 {
            return Ok(0);
        }
        self.left -= 1;
        std::thread::sleep(STEP);
        let length = EVENT.len().min(buffer.len());
        buffer[..length].copy_from_slice(&EVENT[..length]);
        Ok(length)
    }
}

/// Returns the time to the first byte of a streamed body and to its end.
pub fn measure() -> Result<(Duration, Duration)> {
    let answer = |_: &rouille::Request| Response {
        status_code: 200,
        headers: vec![("content-type".into(), "text/event-stream".into())],
        data: ResponseBody::from_reader(Paced { left: EVENTS }),
        upgrade: None,
    };
    let server = Server::new("127.0.0.1:0", answer).map_err(|error| anyhow!("{error}"))?;
    let url = format!("http://{}/", server.server_addr());
    let (thread, stop) = server.stoppable();
    let start = Instant::now();
    let answer = fescuerack_client::agent(1).get(url).call()?;
    let mut reader = answer.into_body().into_reader();
    reader.read_exact(&mut [0; 1])?;
    let first = start.elapsed();
    io::copy(&mut reader, &mut io::sink())?;
    let whole = start.elapsed();
    let _ = stop.send(());
    let _ = thread.join();
    Ok((first, whole))
}
