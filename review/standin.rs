//! Stand-ins for the scripts of the review: the platform's store, runners, requesters and the
//! gateway processes. Only the standard library is used.
//!
//! Each case includes this file as a module and describes what its runners and requesters do.

#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn signal(number: i32, handler: extern "C" fn(i32)) -> usize;
    fn prctl(option: i32, arg: u64, b: u64, c: u64, d: u64) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
pub const SIGHUP: i32 = 1;
pub const SIGINT: i32 = 2;

// ---------------------------------------------------------------- record

static STARTED: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

/// Milliseconds since the start of the script.
pub fn now_ms() -> u64 {
    STARTED.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// Writes a line to `record.txt`.
pub fn record(line: &str) {
    if let Some(file) = RECORD.get() {
        let mut file = file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} s  {line}", now_ms() as f64 / 1000.0);
    }
}

/// Whether the disruption is on.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

extern "C" fn stop(_: i32) {
    STOPPED.store(true, Ordering::SeqCst);
}

static STOPPED: AtomicBool = AtomicBool::new(false);

/// Opens `record.txt` of the case, whose path `run.sh` gives, and starts the watchdog. It ends the script when
/// that takes too long, or when it is told to stop.
pub fn begin(case: &str) {
    now_ms();
    let path = std::env::args().nth(1).unwrap_or_else(|| format!("review/{case}/record.txt"));
    match File::create(&path) {
        Ok(file) => drop(RECORD.set(Mutex::new(file))),
        Err(error) => {
            eprintln!("{path}: {error}");
            std::process::exit(2);
        }
    }
    record(&format!("case {case}, disruption {}", if trouble() { "on" } else { "off" }));
    for number in [SIGHUP, SIGINT, SIGTERM] {
        unsafe { signal(number, stop) };
    }
    thread::spawn(|| loop {
        sleep_ms(100);
        if STOPPED.load(Ordering::SeqCst) {
            finish(2, "the script was stopped");
        }
        if now_ms() > 112_000 {
            finish(2, "the script took too long");
        }
    });
}

/// Ends all processes and the script.
pub fn finish(status: i32, why: &str) -> ! {
    for child in CHILDREN.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(folder());
    }
    record(&format!("exit {status}: {why}"));
    println!("exit {status}: {why}");
    std::process::exit(status);
}

// ---------------------------------------------------------------- addresses

/// Returns the loopback address of machine `index` of this run.
pub fn machine(index: u8) -> Ipv4Addr {
    let pid = std::process::id();
    Ipv4Addr::new(127, 64 + ((pid >> 8) & 63) as u8, (pid & 255) as u8, index + 1)
}

/// Sleeps for some milliseconds.
pub fn sleep_ms(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

// ---------------------------------------------------------------- HTTP

/// The head and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body has arrived whole.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    pub fn id(&self) -> &str {
        self.header("x-request-id").unwrap_or_default()
    }
}

/// A channel with the bytes that were read beyond the last message.
pub struct Channel {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, rest: Vec::new() }
    }

    /// Opens a channel.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    /// Opens a channel with a small receive window.
    pub fn open_small(address: SocketAddr, window: i32) -> io::Result<Self> {
        extern "C" {
            fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
            fn connect(fd: i32, address: *const u8, length: u32) -> i32;
        }
        use std::os::fd::FromRawFd;
        let SocketAddr::V4(v4) = address else {
            return Err(io::Error::other("IPv4 only"));
        };
        // AF_INET, SOCK_STREAM; SOL_SOCKET, SO_RCVBUF.
        let fd = unsafe { socket(2, 1, 0) };
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = unsafe { TcpStream::from_raw_fd(fd) };
        unsafe { setsockopt(fd, 1, 8, &window, 4) };
        let mut raw = [0u8; 16];
        raw[0..2].copy_from_slice(&2u16.to_ne_bytes());
        raw[2..4].copy_from_slice(&v4.port().to_be_bytes());
        raw[4..8].copy_from_slice(&v4.ip().octets());
        if unsafe { connect(fd, raw.as_ptr(), 16) } != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(Self::new(stream))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn set_timeout(&self, millis: u64) {
        let _ = self.stream.set_read_timeout(Some(Duration::from_millis(millis.max(1))));
    }

    /// Closes the channel.
    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0u8; 65536];
        let count = self.stream.read(&mut buffer)?;
        self.rest.extend_from_slice(&buffer[..count]);
        Ok(count)
    }

    /// Whether nothing arrives for `millis` and the channel stays open.
    pub fn is_quiet(&mut self, millis: u64) -> bool {
        self.set_timeout(millis);
        match self.fill() {
            Ok(_) => false,
            Err(error) => matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut),
        }
    }

    /// Reads a head; `None` if the channel ends before it.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.rest.windows(4).position(|four| four == b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        };
        let head: Vec<u8> = self.rest.drain(..end + 4).collect();
        let text = String::from_utf8_lossy(&head).into_owned();
        let mut lines = text.trim_end().split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        Ok(Some(Message { start, headers, body: Vec::new(), is_whole: false }))
    }

    /// Reads a whole message. A body that breaks off gives a message that is not whole.
    pub fn read_message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        let is_chunked = message
            .header("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        if is_chunked {
            while let Some(chunk) = self.read_chunk()? {
                if chunk.is_empty() {
                    message.is_whole = true;
                    return Ok(Some(message));
                }
                message.body.extend_from_slice(&chunk);
            }
            return Ok(Some(message));
        }
        let length: usize = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        while self.rest.len() < length {
            match self.fill() {
                Ok(0) | Err(_) => {
                    message.body = std::mem::take(&mut self.rest);
                    return Ok(Some(message));
                }
                Ok(_) => {}
            }
        }
        message.body = self.rest.drain(..length).collect();
        message.is_whole = true;
        Ok(Some(message))
    }

    /// Reads a chunk; an empty one is the last. `None` if the channel ends or fails before it is whole.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        loop {
            if let Some(at) = self.rest.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.rest[..at]).into_owned();
                let size = line.split(';').next().and_then(|text| usize::from_str_radix(text.trim(), 16).ok());
                let Some(size) = size else { return Ok(None) };
                if self.rest.len() >= at + 2 + size + 2 {
                    let chunk = self.rest[at + 2..at + 2 + size].to_vec();
                    self.rest.drain(..at + 2 + size + 2);
                    return Ok(Some(chunk));
                }
            }
            match self.fill() {
                Ok(0) | Err(_) => return Ok(None),
                Ok(_) => {}
            }
        }
    }
}

/// Formats a response with a length.
pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Serves each channel of a listener in a thread.
pub fn serve(listener: TcpListener, each: impl Fn(Channel) + Send + Sync + 'static) {
    let each = Arc::new(each);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let each = each.clone();
            thread::spawn(move || each(Channel::new(stream)));
        }
    });
}

// ---------------------------------------------------------------- JSON and base64

/// A JSON value, as far as the store needs it.
#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Json {
        parse_value(&mut text.trim().as_bytes()).unwrap_or(Json::Null)
    }

    pub fn get(&self, name: &str) -> &Json {
        let Json::Table(fields) = self else { return &Json::Null };
        fields.iter().find(|(known, _)| known == name).map_or(&Json::Null, |(_, value)| value)
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(items) = self { items } else { &[] }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Json::Number(number) = self { *number as u64 } else { 0 }
    }
}

fn skip(input: &mut &[u8]) {
    while input.first().is_some_and(|byte| byte.is_ascii_whitespace() || *byte == b',' || *byte == b':') {
        *input = &input[1..];
    }
}

fn parse_value(input: &mut &[u8]) -> Option<Json> {
    skip(input);
    match *input.first()? {
        b'{' => {
            *input = &input[1..];
            let mut fields = Vec::new();
            loop {
                skip(input);
                if *input.first()? == b'}' {
                    *input = &input[1..];
                    return Some(Json::Table(fields));
                }
                let Json::Text(name) = parse_value(input)? else { return None };
                fields.push((name, parse_value(input)?));
            }
        }
        b'[' => {
            *input = &input[1..];
            let mut items = Vec::new();
            loop {
                skip(input);
                if *input.first()? == b']' {
                    *input = &input[1..];
                    return Some(Json::List(items));
                }
                items.push(parse_value(input)?);
            }
        }
        b'"' => {
            *input = &input[1..];
            let mut text = Vec::new();
            loop {
                let byte = *input.first()?;
                *input = &input[1..];
                match byte {
                    b'"' => return Some(Json::Text(String::from_utf8_lossy(&text).into_owned())),
                    b'\\' => {
                        text.push(*input.first()?);
                        *input = &input[1..];
                    }
                    _ => text.push(byte),
                }
            }
        }
        _ => {
            let end = input.iter().position(|byte| b",]} \n".contains(byte)).unwrap_or(input.len());
            let word = std::str::from_utf8(&input[..end]).ok()?.to_owned();
            *input = &input[end..];
            Some(word.parse().map_or(Json::Null, Json::Number))
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let word = (u32::from(three[0]) << 16)
            | (u32::from(*three.get(1).unwrap_or(&0)) << 8)
            | u32::from(*three.get(2).unwrap_or(&0));
        for index in 0..4 {
            if index <= three.len() {
                text.push(ALPHABET[(word >> (18 - 6 * index)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn decode_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut word, mut bits) = (0u32, 0);
    for byte in text.bytes() {
        let Some(value) = ALPHABET.iter().position(|known| *known == byte) else { continue };
        word = (word << 6) | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    bytes
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("");
            out.push(u8::from_str_radix(hex, 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

// ---------------------------------------------------------------- the platform's store

#[derive(Clone)]
struct Entry {
    value: Option<Vec<u8>>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    entries: BTreeMap<String, Entry>,
    revision: u64,
    leases: HashMap<u64, (u64, Instant)>,
    last_lease: u64,
}

/// The platform's store: linearizable, loses nothing, answers in some milliseconds.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind((machine(250), 0)).unwrap_or_else(|error| {
            finish(2, &format!("the store cannot listen: {error}"))
        });
        let store = Self { address: listener.local_addr().unwrap(), state: Arc::default() };
        store.state.0.lock().unwrap().revision = 1;
        let serving = store.clone();
        serve(listener, move |channel| serving.serve(channel));
        let expiring = store.clone();
        thread::spawn(move || loop {
            sleep_ms(100);
            expiring.expire();
        });
        store
    }

    /// Writes a value, as the operator and runners do, and returns the revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        let revision = write(&mut state, key, Some(value.as_bytes().to_vec()), 0);
        self.state.1.notify_all();
        revision
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        let mut state = self.state.0.lock().unwrap();
        write(&mut state, key, None, 0);
        self.state.1.notify_all();
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<String> {
        let state = self.state.0.lock().unwrap();
        let value = state.entries.get(key)?.value.clone()?;
        Some(String::from_utf8_lossy(&value).into_owned())
    }

    /// Returns the number of keys with a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        let state = self.state.0.lock().unwrap();
        let entries = state.entries.iter();
        entries.filter(|(key, entry)| key.starts_with(prefix) && entry.value.is_some()).count()
    }

    fn expire(&self) {
        let mut state = self.state.0.lock().unwrap();
        let now = Instant::now();
        let over: Vec<u64> = state.leases.iter().filter(|(_, (_, end))| now >= *end).map(|(id, _)| *id).collect();
        for lease in over {
            state.leases.remove(&lease);
            let keys: Vec<String> = state
                .entries
                .iter()
                .filter(|(_, entry)| entry.lease == lease && entry.value.is_some())
                .map(|(key, _)| key.clone())
                .collect();
            for key in keys {
                write(&mut state, &key, None, 0);
            }
        }
        self.state.1.notify_all();
    }

    fn serve(&self, mut channel: Channel) {
        while let Ok(Some(call)) = channel.read_message() {
            sleep_ms(2);
            let (status, body) = self.answer(&call);
            let text = match status {
                200 => "200 OK",
                403 => "403 Forbidden",
                404 => "404 Not Found",
                412 => "412 Precondition Failed",
                _ => "400 Bad Request",
            };
            let bytes = response(text, &[("Content-Type", "application/json")], body.as_bytes());
            if channel.send(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, String) {
        let query = call.target().split_once('?').map_or("", |(_, query)| query);
        let parameter = |name: &str| {
            let pair = query.split('&').filter_map(|one| one.split_once('=')).find(|(key, _)| *key == name);
            pair.map(|(_, value)| percent_decode(value)).unwrap_or_default()
        };
        let body = Json::parse(&String::from_utf8_lossy(&call.body));
        let path = call.path();
        match path {
            "/api/kv-range" => {
                let (prefix, after) = (parameter("prefix"), parameter("since_revision"));
                let state = self.state.0.lock().unwrap();
                let items: Vec<String> = state
                    .entries
                    .iter()
                    .filter(|(key, entry)| key.starts_with(&prefix) && **key > after && entry.value.is_some())
                    .map(|(key, entry)| item(key, entry))
                    .collect();
                (200, format!("{{\"items\":[{}],\"more_pages\":false,\"as_of\":{}}}", items.join(","), state.revision))
            }
            "/api/kv-key" => {
                let key = parameter("key");
                let state = self.state.0.lock().unwrap();
                match state.entries.get(&key).filter(|entry| entry.value.is_some()) {
                    Some(entry) => {
                        let text = item(&key, entry);
                        (200, format!("{},\"as_of\":{}}}", &text[..text.len() - 1], state.revision))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            "/api/kv-watch" => {
                let prefix = parameter("prefix");
                let since: u64 = parameter("since_revision").parse().unwrap_or(0);
                let wait: u64 = parameter("wait_ms").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                let mut state = self.state.0.lock().unwrap();
                loop {
                    let mut changed: Vec<(&String, &Entry)> = state
                        .entries
                        .iter()
                        .filter(|(key, entry)| key.starts_with(&prefix) && entry.revision > since)
                        .collect();
                    changed.sort_by_key(|(_, entry)| entry.revision);
                    let now = Instant::now();
                    if !changed.is_empty() || now >= until {
                        let events: Vec<String> = changed.into_iter().map(|(key, entry)| item(key, entry)).collect();
                        let text = format!("{{\"events\":[{}],\"as_of\":{}}}", events.join(","), state.revision);
                        return (200, text);
                    }
                    state = self.state.1.wait_timeout(state, until - now).unwrap().0;
                }
            }
            "/api/kv-txn" => self.transact(&body),
            "/api/kv-lease" => {
                let mut state = self.state.0.lock().unwrap();
                let ttl = body.get("ttl_ms").number().max(1000);
                state.last_lease += 1;
                let lease = 77_000 + state.last_lease;
                state.leases.insert(lease, (ttl, Instant::now() + Duration::from_millis(ttl)));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            _ if path.starts_with("/api/kv-keep/") => {
                let lease: u64 = path["/api/kv-keep/".len()..].parse().unwrap_or(0);
                let mut state = self.state.0.lock().unwrap();
                match state.leases.get_mut(&lease) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + Duration::from_millis(*ttl);
                        (200, format!("{{\"ttl_ms\":{ttl}}}"))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.0.lock().unwrap();
        for row in body.get("precondition").list() {
            let entry = live(&state, row);
            if entry.map_or(0, |entry| entry.revision) != row.get("revision").number() {
                let rows = body.get("precondition").list().iter();
                let items: Vec<String> =
                    rows.filter_map(|row| Some(item(row.get("key").text(), live(&state, row)?))).collect();
                return (412, format!("{{\"items\":[{}]}}", items.join(",")));
            }
        }
        for put in body.get("puts").list() {
            let (key, lease) = (put.get("key").text(), put.get("lease").number());
            if key.starts_with("op/") || key.starts_with("servers/") {
                return (403, "{}".to_owned());
            }
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        for put in body.get("puts").list() {
            let value = decode_base64(put.get("value").text());
            record(&format!("store: {} = {}", put.get("key").text(), String::from_utf8_lossy(&value)));
            write(&mut state, put.get("key").text(), Some(value), put.get("lease").number());
        }
        for key in body.get("remove").list() {
            write(&mut state, key.text(), None, 0);
        }
        self.state.1.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}

/// Returns the entry of the key that a row names, if there is one.
fn live<'a>(state: &'a State, row: &Json) -> Option<&'a Entry> {
    state.entries.get(row.get("key").text()).filter(|entry| entry.value.is_some())
}

fn write(state: &mut State, key: &str, value: Option<Vec<u8>>, lease: u64) -> u64 {
    state.revision += 1;
    let revision = state.revision;
    let known = state.entries.get(key).filter(|entry| entry.value.is_some());
    let created = known.map_or(revision, |entry| entry.created);
    state.entries.insert(key.to_owned(), Entry { value, revision, created, lease });
    revision
}

fn item(key: &str, entry: &Entry) -> String {
    match &entry.value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
            encode_base64(value),
            entry.revision,
            entry.created,
            entry.lease
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{},\"tombstone\":true}}", entry.revision),
    }
}

// ---------------------------------------------------------------- runners

/// A runner: it registers in the store and serves requests.
#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
}

/// What a runner does with a request that it accepts. `false` closes the channel.
pub type Work = dyn Fn(&Runner, &Message, &mut Channel) -> bool + Send + Sync;

/// Second copies of answers, sent where the next answer on the channel is expected: in spans, and for a share of
/// the answers of each runner in each span.
pub struct Extra {
    began: u64,
    /// Milliseconds from one span to the next, and of a span.
    cycle_ms: u64,
    span_ms: u64,
    share: f64,
    /// The present span; answers and copies in it, by runner; the largest share so far, and all copies.
    state: Mutex<(u64, HashMap<String, (u32, u32)>, f64, u32)>,
}

impl Extra {
    pub fn new(cycle_ms: u64, span_ms: u64, share: f64) -> Arc<Self> {
        Arc::new(Self { began: now_ms(), cycle_ms, span_ms, share, state: Mutex::default() })
    }

    /// Waits for the next span.
    pub fn wait(&self) {
        let since = now_ms() - self.began;
        sleep_ms(since.div_ceil(self.cycle_ms) * self.cycle_ms - since);
    }

    /// Returns the number of the present span; `None` between two spans, or without the disruption.
    fn span(&self) -> Option<u64> {
        let since = now_ms() - self.began;
        (trouble() && since % self.cycle_ms < self.span_ms).then_some(since / self.cycle_ms)
    }

    fn change<R>(&self, id: &str, change: impl FnOnce(&mut (u32, u32)) -> R) -> R {
        let span = (now_ms() - self.began) / self.cycle_ms;
        let mut state = self.state.lock().unwrap();
        if state.0 != span {
            state.0 = span;
            state.1.clear();
        }
        change(state.1.entry(id.to_owned()).or_default())
    }

    fn answer(&self, id: &str) {
        self.change(id, |counts| counts.0 += 1);
    }

    /// Takes one more copy from what the share of the runner's answers in this span allows. Returns the span, in
    /// which alone the copy may be sent.
    fn take(&self, id: &str) -> Option<u64> {
        let span = self.span()?;
        let share = self.change(id, |counts| {
            let share = f64::from(counts.1 + 1) / f64::from(counts.0.max(1));
            let is_allowed = counts.0 > 0 && share <= self.share;
            counts.1 += u32::from(is_allowed);
            is_allowed.then_some(share)
        })?;
        let mut state = self.state.lock().unwrap();
        state.2 = state.2.max(share);
        Some(span)
    }

    fn record_sent(&self) {
        self.state.lock().unwrap().3 += 1;
    }

    /// Says what was spoilt, for the record.
    pub fn summary(&self) -> String {
        let state = self.state.lock().unwrap();
        format!("{} second copies; the largest share of a runner's answers in a span was {:.4}", state.3, state.2)
    }
}

impl Runner {
    /// Starts a runner of version `v1`; see [`Runner::start_as`].
    pub fn start(
        store: &Store,
        index: u8,
        service: &str,
        zone: &str,
        models: &[&str],
        slots: u32,
        work: Arc<Work>,
        extra: Option<Arc<Extra>>,
    ) -> Self {
        Self::start_as("v1", store, index, service, zone, models, slots, work, extra)
    }

    /// Starts a runner of `service` in `zone`, of a version. `models` is empty for a plain service. `extra`
    /// says whether a second copy of an answer is sent where the next answer is expected.
    pub fn start_as(
        version: &str,
        store: &Store,
        index: u8,
        service: &str,
        zone: &str,
        models: &[&str],
        slots: u32,
        work: Arc<Work>,
        extra: Option<Arc<Extra>>,
    ) -> Self {
        let listener = TcpListener::bind((machine(100 + index), 0)).unwrap_or_else(|error| {
            finish(2, &format!("a runner cannot listen: {error}"))
        });
        let runner = Self {
            id: format!("i-{index:02}{:06x}", std::process::id()),
            service: service.to_owned(),
            address: listener.local_addr().unwrap(),
        };
        let serving = runner.clone();
        let is_engine = !models.is_empty();
        serve(listener, move |channel| serving.serve(channel, is_engine, &*work, extra.as_deref()));
        let (beating, store) = (runner.clone(), store.clone());
        let list: Vec<String> =
            models.iter().map(|name| format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}")).collect();
        let (list, zone, version) = (list.join(","), zone.to_owned(), version.to_owned());
        let beat = move |sequence: u64| {
            let value = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"{version}\",\"slots\":{slots},\
                 \"state\":\"ready\",\"warmup_left_ms\":0,\"models\":[{list}],\"sequence\":{sequence}}}",
                beating.service, beating.address
            );
            store.put(&format!("servers/{}", beating.id), &value);
        };
        beat(1);
        thread::spawn(move || {
            for sequence in 2.. {
                sleep_ms(1200);
                beat(sequence);
            }
        });
        runner
    }

    fn serve(&self, mut channel: Channel, is_engine: bool, work: &Work, extra: Option<&Extra>) {
        let mut late: Option<(u64, Vec<u8>)> = None;
        while let Ok(Some(request)) = channel.read_message() {
            if !request.is_whole {
                return;
            }
            // The fault may be over by now: the copy is then never sent.
            let copy = late.take().filter(|(span, _)| extra.and_then(Extra::span) == Some(*span));
            if let Some((_, copy)) = copy {
                extra.inspect(|extra| extra.record_sent());
                record(&format!("runner {}: a second copy of its last answer, before the answer to {}", self.id, request.id()));
                if channel.send(&copy).is_err() {
                    return;
                }
            }
            let reply = self.reply_without_run(&request, is_engine);
            let Some(bytes) = reply else {
                extra.inspect(|extra| extra.answer(&self.id));
                if !work(self, &request, &mut channel) {
                    channel.close();
                    return;
                }
                continue;
            };
            if channel.send(&bytes).is_err() {
                return;
            }
            extra.inspect(|extra| extra.answer(&self.id));
            if request.id().is_empty() {
                late = extra.and_then(|extra| extra.take(&self.id)).map(|span| (span, bytes));
            }
        }
    }

    /// Returns the answer to what a runner does not run.
    fn reply_without_run(&self, request: &Message, is_engine: bool) -> Option<Vec<u8>> {
        if request.path() == "/healthz" {
            return Some(response("200 OK", &[("X-Instance-Id", &self.id)], b""));
        }
        if is_engine && request.path() == "/api/report" {
            record(&format!("runner {}: GET /api/report", self.id));
            let body = "{\"stage\":\"prefill_decode\",\"models\":[],\"busy\":false,\"sequence\":1,\"queue_depth\":0,\
                        \"running\":1,\"kv_used\":100,\"kv_total\":360460,\"handles\":0}";
            return Some(response("200 OK", &[("Content-Type", "application/json")], body.as_bytes()));
        }
        if request.id().is_empty() {
            record(&format!("runner {}: {} without an id, 400, not executed", self.id, request.start));
            return Some(response("400 Bad Request", &[("X-Not-Executed", "1")], b""));
        }
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            record(&format!("runner {}: {} expects another runner, 421", self.id, request.id()));
            return Some(response("421 Misdirected Request", &[("X-Instance-Id", &self.id)], b""));
        }
        None
    }

    /// Returns the proof of an answer.
    pub fn proof(&self, request: &Message) -> String {
        format!("{}.{}", self.id, request.id())
    }
}

// ---------------------------------------------------------------- the processes of the gateway

static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Returns the temporary folder of this run, for settings and logs.
fn folder() -> PathBuf {
    let parent = std::env::var("TMPDIR").unwrap_or_else(|_| "/tmp".to_owned());
    PathBuf::from(parent).join(format!("review-{}", std::process::id()))
}

/// Returns ports that are free at `ip`.
fn free_ports(ip: Ipv4Addr) -> [u16; 3] {
    let listeners = [0, 0, 0].map(|port| TcpListener::bind((ip, port)));
    listeners.map(|listener| match listener.and_then(|listener| listener.local_addr()) {
        Ok(address) => address.port(),
        Err(error) => finish(2, &format!("no free port: {error}")),
    })
}

/// A machine that runs the gateway with the command of the deploy file.
#[derive(Clone, Debug)]
pub struct Edge {
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    pub pid: i32,
}

impl Edge {
    /// Starts the process.
    pub fn start(store: &Store, index: u8, zone: &str) -> Self {
        let ip = machine(index);
        let folder = folder();
        let _ = std::fs::create_dir_all(&folder);
        let path = folder.join(format!("local-{index}.yaml"));
        let [front, readiness, inner] = free_ports(ip);
        let text = SETTINGS
            .replace("FRONT", &front.to_string())
            .replace("READY", &readiness.to_string())
            .replace("INNER", &inner.to_string())
            .replace("NAME", &format!("edge-{zone}-{index}"))
            .replace("ZONE", zone)
            .replace("STORE", &store.address.to_string())
            .replace("IP", &ip.to_string());
        if let Err(error) = std::fs::write(&path, text) {
            finish(2, &format!("settings: {error}"));
        }
        let log = File::create(folder.join(format!("log-{index}.txt")));
        let mut command = Command::new("target/release/fescuerackd");
        command.arg("gateway").env_clear().env("FESCUERACK_NODE_FILE", &path);
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.stdin(Stdio::null()).stdout(log.map_or(Stdio::null(), Stdio::from));
        command.stderr(Stdio::inherit());
        // The process ends with the script (PR_SET_PDEATHSIG).
        unsafe {
            command.pre_exec(|| {
                prctl(1, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        let child = command.spawn().unwrap_or_else(|error| finish(2, &format!("target/release/fescuerackd: {error}")));
        let pid = child.id() as i32;
        CHILDREN.lock().unwrap().push(child);
        let edge = Self { front: (ip, front).into(), readiness: (ip, readiness).into(), pid };
        record(&format!("started edge-{zone}-{index}, process {pid}, front {}", edge.front));
        edge
    }

    /// Waits until it is ready.
    pub fn wait_ready(&self) {
        for _ in 0..200 {
            if self.is_ready() {
                return;
            }
            sleep_ms(50);
        }
        finish(2, "a process did not become ready");
    }

    /// Asks the readiness probe, as the platform does.
    pub fn is_ready(&self) -> bool {
        let Ok(mut channel) = Channel::open(self.readiness) else { return false };
        channel.set_timeout(1000);
        let _ = channel.send(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        matches!(channel.read_message(), Ok(Some(answer)) if answer.status() == 200)
    }

    /// Sends a signal.
    pub fn signal(&self, number: i32) {
        record(&format!("signal {number} to process {}", self.pid));
        unsafe { kill(self.pid, number) };
    }

    /// Whether the process has ended.
    pub fn has_ended(&self) -> bool {
        let mut children = CHILDREN.lock().unwrap();
        let child = children.iter_mut().find(|child| child.id() as i32 == self.pid);
        child.is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

const SETTINGS: &str = r#"node_name: "NAME"
role: "gateway"
machine_class: "edge"
serves:
  - "edge"
ip: "IP"
zone: "ZONE"
region: "fi-south"
zones:
  espoo-a: "fi-south"
  espoo-b: "fi-south"
  vantaa-a: "fi-south"
  helsinki-c: "fi-south"
listen:
  front: "IP:FRONT"
  readiness: "IP:READY"
internal_ports:
  - INNER
  - INNER
seeds: []
bootstrap: true
in_tolerance: true
limits:
  cpu_share: 0.25
  cores: 1
  memory_mb: 260
  max_fds: 4100
  link_mbps: 1000.0
  disk_mb: 0
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "rollout"]
fault_tolerance:
  machines: 1
  zones: 0
  regions: 0
bounds:
  seed_lag_s: 3
  reuse_after_s: 2
  stable_window_ms: 3000
  ack_ms: 4000
  catch_up_s: 4
  drain_ms: 2000
  grace_s: 8
  lost_ms: 200
  config_apply_ms: 2000
  downgrade_ms: 250
  max_skew_ms: 5000
  strict_revocation: false
  revoke_ms: 5000
  retry_budget_ratio: 0.9
  retry_window_s: 10
  retry_budget_slack: 58
  canary_share: 0.15
  canary_slack: 30
  rollback_ms: 5000
  recover_s: 12
  pass_ms: 120
  reuse_window_s: 8.9
  session_s: 5
platform:
  address: "STORE"
  form: "kv"
  writes_per_s: 400
  reads_per_s: 2000
  history_s: 20
  value_bytes: 1048576
  ttl_min_ms: 1000
"#;

// ---------------------------------------------------------------- configuration and requests

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const TENANT: &str = "hule930";

/// Returns a configuration with these routes, written as JSON objects.
pub fn configuration(version: u64, routes: &[&str]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"kaisla-llm\",\"health_check\":\"/healthz\",\
         \"max_connections\":370,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kv_capacity\":360460,\
         \"stride\":3}}}},{{\"name\":\"varaus-api\",\"health_check\":\"/healthz\",\"max_connections\":110,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"{TENANT}\",\
         \"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// Returns a new identifier of a request.
pub fn new_id() -> String {
    let number = LAST_ID.fetch_add(1, Ordering::SeqCst) + 1;
    format!("{:08x}{number:08x}", std::process::id())
}

/// Formats a request.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n\
         Authorization: Bearer {KEY}\r\n{headers}"
    );
    if method == "POST" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// How often each request was run, by its identifier.
#[derive(Default)]
pub struct Runs(Mutex<HashMap<String, Vec<String>>>);

impl Runs {
    /// Records that a runner begins to work on a request.
    pub fn begin(&self, runner: &Runner, request: &Message) {
        record(&format!("runner {} runs {} ({})", runner.id, request.id(), request.path()));
        self.0.lock().unwrap().entry(request.id().to_owned()).or_default().push(runner.id.clone());
    }

    /// Returns the number of runs of all requests.
    pub fn total(&self) -> usize {
        self.0.lock().unwrap().values().map(Vec::len).sum()
    }

    /// Returns the runners that have run a request, in order.
    pub fn of(&self, id: &str) -> Vec<String> {
        self.0.lock().unwrap().get(id).cloned().unwrap_or_default()
    }

    pub fn count(&self, id: &str) -> usize {
        self.0.lock().unwrap().get(id).map_or(0, Vec::len)
    }
}

/// Returns the file descriptor of a channel.
pub fn descriptor(channel: &Channel) -> i32 {
    channel.stream.as_raw_fd()
}
