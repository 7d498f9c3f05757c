//! Cost of the router on the path of a request.
//!
//! `cargo bench -p fescuerack-node --bench path [-- latency|throughput|memory|port]`
//!
//! Three sides are measured in turn, in the same run: *direct* requests to the
//! stand-in engine; requests through a real `fescuerackd` (*node*); and requests
//! through a *bare* pass-through proxy on the same two libraries, hyper and
//! ureq, without any decisions. Each round measures all sides, so that other
//! load on the machine affects all of them. Figures are medians over the rounds,
//! with the minimum and the maximum.

mod bare;
mod client;
mod process;
mod rouille_port;
mod world;

use std::time::Duration;

use anyhow::{Result, bail};
use client::{Load, Measured};
use fescuerack_standin::Pace;
use process::Process;
use world::World;

/// Number of rounds over all sides.
const ROUNDS: usize = 3;
/// Numbers of open streams at which latency is measured.
const STREAMS: [usize; 3] = [1, 50, 400];
/// Time for which each side is measured in a round.
const WINDOW: Duration = Duration::from_secs(3);
/// Speed of the engine for latency: a time to first token and a token rate as in
/// production.
const LATENCY_PACE: Pace = Pace {
    first_token_ms: 100,
    token_ms: 20,
};
/// Tokens of an answer for latency.
const TOKENS: u64 = 20;
/// Speed of the engine for throughput: it answers without delay, so that only
/// the path takes time.
const THROUGHPUT_PACE: Pace = Pace {
    first_token_ms: 0,
    token_ms: 0,
};
/// Concurrent requests for throughput, in a closed loop.
const CLOSED_LOOP: usize = 64;
/// Tokens of an answer for throughput.
const THROUGHPUT_TOKENS: u64 = 8;
/// Speed of the engine for memory: streams stay open.
const MEMORY_PACE: Pace = Pace {
    first_token_ms: 1,
    token_ms: 600_000,
};
/// Speed of the engine for the comparison of ports.
const PORT_PACE: Pace = Pace {
    first_token_ms: 50,
    token_ms: 50,
};
/// Open streams for memory.
const OPEN_STREAMS: usize = 400;

fn main() -> Result<()> {
    let mut arguments = std::env::args()
        .skip(1)
        .filter(|argument| argument != "--bench");
    match arguments.next().as_deref() {
        Some(bare::ARGUMENT) => bare::serve(&arguments.next().unwrap_or_default()),
        Some("latency") => latency(),
        Some("throughput") => throughput(),
        Some("memory") => memory(),
        Some("port") => port(),
        None => {
            latency()?;
            throughput()?;
            memory()?;
            port()
        }
        Some(other) => bail!("no such measurement: {other}"),
    }
}

/// (a) Time to first token and total time, in addition to those of the engine.
fn latency() -> Result<()> {
    println!("## added to the direct way, in ms: median [least, greatest] of {ROUNDS} rounds");
    println!("streams | side | first p50 | first p99 | total p50 | total p99 | answers");
    let world = World::new(LATENCY_PACE)?;
    let node = Process::node(&world.platform.address())?;
    let bare = Process::bare(&world.engines[0].address())?;
    for streams in STREAMS {
        let mut rounds = [Vec::new(), Vec::new()];
        let mut answers = [0; 2];
        for _ in 0..ROUNDS {
            let run = |address: &str| {
                let load = Load::new(address, streams, TOKENS);
                load.run(&world.runtime, WINDOW)
            };
            let direct = run(&world.engines[0].address())?;
            for (side, process) in [&node, &bare].into_iter().enumerate() {
                let proxied = run(&process.address)?;
                rounds[side].push(proxied.added_to(&direct));
                answers[side] += proxied.answers;
            }
        }
        for (side, name) in ["node", "bare"].into_iter().enumerate() {
            let columns: Vec<_> = (0..4).map(|column| spread(&rounds[side], column)).collect();
            println!(
                "{streams} | {name} | {} | {}",
                columns.join(" | "),
                answers[side]
            );
        }
    }
    Ok(())
}

/// (b) Requests per second and processor time per request, compared with the
/// bare pass-through proxy.
fn throughput() -> Result<()> {
    println!(
        "## {CLOSED_LOOP} requests at a time, {THROUGHPUT_TOKENS} tokens each, {ROUNDS} rounds"
    );
    println!("side | requests/s | CPU us/request | first p99 ms | without end");
    let world = World::new(THROUGHPUT_PACE)?;
    let node = Process::node(&world.platform.address())?;
    let bare = Process::bare(&world.engines[0].address())?;
    let mut rounds = [Vec::new(), Vec::new()];
    let mut cut = [0; 2];
    for _ in 0..ROUNDS {
        for (side, process) in [&node, &bare].into_iter().enumerate() {
            let before = process.cpu();
            let load = Load::new(&process.address, CLOSED_LOOP, THROUGHPUT_TOKENS);
            let measured = load.run(&world.runtime, WINDOW)?;
            cut[side] += measured.cut;
            rounds[side].push(cost(&measured, process.cpu().saturating_sub(before)));
        }
    }
    for (side, name) in ["node", "bare"].into_iter().enumerate() {
        let columns: Vec<_> = (0..3).map(|column| spread(&rounds[side], column)).collect();
        println!("{name} | {} | {}", columns.join(" | "), cut[side]);
    }
    let ratio = |column: usize| median(&rounds[0], column) / median(&rounds[1], column);
    println!("node / bare: requests {:.2}, CPU {:.2}", ratio(0), ratio(1));
    Ok(())
}

fn cost(measured: &Measured, cpu: Duration) -> [f64; 4] {
    let answers = measured.answers_float();
    let per_second = answers / measured.took.as_secs_f64();
    let micros = cpu.as_secs_f64() * 1e6 / answers;
    [per_second, micros, measured.quantiles()[1], 0.0]
}

/// (c) Memory per open stream.
fn memory() -> Result<()> {
    println!("## resident memory of {OPEN_STREAMS} open streams");
    println!("side | KB before | KB with streams | KB a stream");
    let world = World::new(MEMORY_PACE)?;
    let node = Process::node(&world.platform.address())?;
    let bare = Process::bare(&world.engines[0].address())?;
    for (name, process) in [("node", &node), ("bare", &bare)] {
        let before = process.resident_kb();
        let load = Load::new(&process.address, OPEN_STREAMS, TOKENS);
        let open = load.open(&world.runtime)?;
        let with = process.resident_kb();
        let each = with.saturating_sub(before) / u64::try_from(OPEN_STREAMS)?;
        println!("{name} | {before} | {with} | {each}");
        drop(open);
    }
    Ok(())
}

/// Shows why the callers' port does not use rouille: the time to the first of 20
/// tokens, which the engine sends every 50 ms.
fn port() -> Result<()> {
    println!("## 20 tokens, one each 50 ms: milliseconds to the first and to the end");
    let (first, whole) = rouille_port::measure()?;
    println!("rouille | {} | {}", first.as_millis(), whole.as_millis());
    let world = World::new(PORT_PACE)?;
    let node = Process::node(&world.platform.address())?;
    let load = Load::new(&node.address, 1, TOKENS);
    let measured = load.run(&world.runtime, WINDOW)?.quantiles();
    println!("node (hyper) | {:.0} | {:.0}", measured[0], measured[2]);
    Ok(())
}

fn sorted(rounds: &[[f64; 4]], column: usize) -> Vec<f64> {
    let mut values: Vec<_> = rounds.iter().map(|round| round[column]).collect();
    values.sort_by(f64::total_cmp);
    values
}

fn median(rounds: &[[f64; 4]], column: usize) -> f64 {
    let values = sorted(rounds, column);
    values[values.len() / 2]
}

fn spread(rounds: &[[f64; 4]], column: usize) -> String {
    let values = sorted(rounds, column);
    let (min, max) = (values[0], values[values.len() - 1]);
    format!("{:.2} [{min:.2}, {max:.2}]", median(rounds, column))
}
