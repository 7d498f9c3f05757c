//! The time to first token through rouille, the HTTP library that the house
//! style prefers, for comparison with the node's callers' port on hyper.

use std::io::{self, Read};
use std::time::{Duration, Instant};

use anyhow::{Result, anyhow};
use rouille::{Response, ResponseBody, Server};

/// Number of events in the answer.
const EVENT_COUNT: u32 = 20;
/// Time before each event.
const EVENT_INTERVAL: Duration = Duration::from_millis(50);
/// One event.
const EVENT: &[u8] = b"data: {}\n\n";

/// An answer whose events arrive one by one.
struct Paced {
    remaining: u32,
}

impl Read for Paced {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.remaining == 0 {
            return Ok(0);
        }
        self.remaining -= 1;
        std::thread::sleep(EVENT_INTERVAL);
        let length = EVENT.len().min(buffer.len());
        buffer[..length].copy_from_slice(&EVENT[..length]);
        Ok(length)
    }
}

/// Measures the time to the first byte of a streamed body and to its end.
pub fn measure() -> Result<(Duration, Duration)> {
    let answer = |_: &rouille::Request| Response {
        status_code: 200,
        headers: vec![("content-type".into(), "text/event-stream".into())],
        data: ResponseBody::from_reader(Paced {
            remaining: EVENT_COUNT,
        }),
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
