//! Measures the slopes in `docs/CAPACITY.md`, and prints that page's table for
//! the planned size.
//!
//! ```text
//! cargo bench -p fescuerack-node --bench capacity
//! ```
//!
//! Each slope is measured at two sizes and printed with its spread over several
//! rounds. The processor time of decisions is measured over many calls in this
//! process. Memory is the growth of the resident set. The cost of an idle process
//! is measured on real `fescuerackd` processes with long server lists.

use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::hint::black_box;
use std::io::Write as _;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use fescuerack_client::{Agent, HttpStore, agent, manifest};
use fescuerack_config::{Catalog, Folder, Merged, Names, folder, key};
use fescuerack_core::admission::{self, Controller, Thresholds, Verdict};
use fescuerack_core::clock;
use fescuerack_core::route::{Listed, Request, State, Table};
use fescuerack_core::{claim, ledger, session};
use fescuerack_standin::{Engine, Pace, Platform};
use fescuerack_wire::discovery::{Instances, ListedInstance};
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;

/// Number of rounds of each measurement.
const ROUNDS: u64 = 5;
/// Number of instances at the planned size.
const NODES: f64 = 340.0;
/// Number of backend servers at the planned size.
const SERVERS: usize = 910;
/// Requests per second at the planned size, on one instance.
const REQUESTS_PER_SECOND: f64 = 5_000.0 / NODES;
/// Changes of the configuration per second at the planned size.
const CHANGES_PER_SECOND: f64 = 3_000.0 / 86_400.0;
/// Changes of the platform's list per second: 270 instances a day fail, restart
/// or are replaced, and each leaves the list and returns.
const LIST_CHANGES_PER_SECOND: f64 = 2.0 * 270.0 / 86_400.0;
/// Assumed size of a read that finds the list unchanged, with the heads of
/// request and response.
const UNCHANGED_BYTES: f64 = 300.0;
/// Assumed number of organisations. The plan gives no number.
const ORGANISATIONS: usize = 1_000;
/// Number of versions at the planned size.
const VERSIONS: usize = 10;
/// Size of the answer to a request with a claim.
const BODY_BYTES: usize = 500;
/// Time for which an idle process is measured.
const IDLE_WINDOW: Duration = Duration::from_secs(8);

/// Median, minimum and maximum of a series of values.
#[derive(Clone, Copy)]
struct Spread {
    min: f64,
    median: f64,
    max: f64,
}

impl Spread {
    fn new(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        Self {
            min: values[0],
            median: values[values.len() / 2],
            max: values[values.len() - 1],
        }
    }

    fn show(self, unit: &str) -> String {
        let Self { min, median, max } = self;
        format!("{median:.2} {unit} ({min:.2} to {max:.2})")
    }
}

fn float(value: usize) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}

/// Measures the time of one call in microseconds, over `ROUNDS` rounds of `calls`
/// calls.
fn micros(calls: u32, mut call: impl FnMut(u32)) -> Spread {
    let round = |call: &mut dyn FnMut(u32)| {
        let started = Instant::now();
        for index in 0..calls {
            call(index);
        }
        started.elapsed().as_secs_f64() * 1e6 / f64::from(calls)
    };
    Spread::new((0..ROUNDS).map(|_| round(&mut call)).collect())
}

/// Returns the resident memory of a process, in bytes.
fn resident(process: &str) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/statm")).unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * 4096.0
}

/// Environment variable that makes a child process of this program measure the
/// memory of a structure, for example `servers=910`.
const HOLD: &str = "FESCUERACK_CAPACITY_HOLD";
/// Number of copies that are held at a time to measure their memory.
const COPIES: usize = 8;

/// Returns the size in bytes of one copy of `what`. It is measured in a new
/// process, where no free memory of earlier work hides the growth.
fn held_bytes(what: &str, size: usize) -> f64 {
    let program = std::env::current_exe().expect("this program has a path");
    let output = Command::new(program)
        .env(HOLD, format!("{what}={size}"))
        .output();
    let output = output.expect("this program starts again");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.trim().parse().expect("a number of bytes")
}

/// Holds copies of the structure that the variable names, and prints the size of
/// one in bytes.
fn print_held_bytes(structure: &str) {
    let (what, size) = structure.split_once('=').expect("what and size");
    let size = size.parse().expect("a size");
    let bytes = if what == "servers" {
        growth(|| {
            let mut names = Names::new();
            (table(&mut names, size), names)
        })
    } else {
        let folder = configuration(size, VERSIONS);
        growth(|| build(&folder))
    };
    println!("{bytes}");
}

/// Returns the memory of one copy of what `make` returns, in bytes.
fn growth<T>(make: impl Fn() -> T) -> f64 {
    let first = make();
    let before = resident("self");
    let kept: Vec<_> = (0..COPIES).map(|_| make()).collect();
    let after = resident("self");
    drop((first, kept));
    (after - before) / float(COPIES)
}

fn build(folder: &Folder) -> (Catalog, Names) {
    let merged = Merged::new(folder).expect("no problems");
    let mut names = Names::new();
    let catalog = Catalog::new(1, &merged, &mut names).expect("no problems");
    (catalog, names)
}

/// Returns a configuration with the given numbers of organisations and of
/// versions, which belong to five models.
fn configuration(organisations: usize, versions: usize) -> Folder {
    let mut models = String::from("models:\n");
    let mut text = String::from("versions:\n");
    for model in 0..5 {
        writeln!(models, "  model-{model}: {{note: measured}}").expect("text grows");
    }
    for version in 0..versions {
        let model = version % 5;
        let number = version / 5 + 1;
        writeln!(
            text,
            "  model-{model}@{number}:\n    cost_input: 40\n    cost_output: 160\n    \
             quality: {{default: 0.8, chat: 0.9}}"
        )
        .expect("text grows");
    }
    let targets = "targets:\n  chat: {quality: 0.8, models: [model-0, model-1]}\n";
    let mut folder = Folder::new()
        .with_file("10-models.yaml", models + &text)
        .with_file("30-targets.yaml", targets.to_owned());
    // Uses several files, because several teams write the configuration.
    for (file, names) in (0..organisations)
        .collect::<Vec<_>>()
        .chunks(50)
        .enumerate()
    {
        let mut text = String::from("organisations:\n");
        for name in names {
            let digest = folder::digest(format!("key-{name}").as_bytes());
            writeln!(
                text,
                "  organisation-{name}:\n    weight: 2\n    allow: [model-0, model-1]\n    \
                 keys: [{digest}]"
            )
            .expect("text grows");
        }
        folder = folder.with_file(&format!("50-part-{file:03}.yaml"), text);
    }
    folder
}

struct Compiled {
    millis: Spread,
    text_bytes: usize,
    memory: f64,
}

fn compile(organisations: usize, versions: usize) -> Compiled {
    let folder = configuration(organisations, versions);
    let text_bytes = folder.files.values().map(bytes_of).sum();
    let micros = micros(3, |_| {
        black_box(build(&folder));
    });
    let scale = |micros: f64| micros / 1000.0;
    Compiled {
        millis: Spread {
            min: scale(micros.min),
            median: scale(micros.median),
            max: scale(micros.max),
        },
        text_bytes,
        memory: held_bytes("organisations", organisations),
    }
}

fn bytes_of(content: &bytes::Bytes) -> usize {
    content.len()
}

fn table(names: &mut Names, servers: usize) -> Table {
    let fleet = names.fleets.intern("fleet");
    let mut table = Table::new("zone-0");
    table.apply_list(clock::Instant::ORIGIN, listed(names, fleet, servers));
    table
}

fn listed(names: &mut Names, fleet: key::Fleet, servers: usize) -> Vec<(key::Server, Listed)> {
    let one = |index: usize| {
        let id = format!("runner-{index:05}");
        let key = names.servers.intern(&id);
        let listed = Listed {
            id,
            fleet,
            zone: format!("zone-{}", index % 8),
            address: format!("10.0.{}.{}:8000", index / 250, index % 250),
            state: State::Live,
            slots: 16,
        };
        (key, listed)
    };
    (0..servers).map(one).collect()
}

struct Routing {
    choose: Spread,
    apply_list: Spread,
    tick: Spread,
    memory: f64,
    list_bytes: usize,
}

fn routing(servers: usize) -> Routing {
    let mut names = Names::new();
    let memory = held_bytes("servers", servers) / float(servers);
    let mut table = table(&mut names, servers);
    let fleet = names.fleets.intern("fleet");
    let avoid = BTreeSet::new();
    let fleets = [fleet];
    let request = Request {
        fleets: &fleets,
        avoid: &avoid,
        work: 200,
        prompt_tokens: 500,
        prefix: None,
        adapter: None,
    };
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let now = clock::Instant::from_millis(1_000);
    let choose = micros(20_000, |_| {
        black_box(table.choose(now, &request, &mut rng));
    });
    let apply_list = micros(20, |_| {
        let listed = listed(&mut names, fleet, servers);
        table.apply_list(now, listed);
    });
    let tick = micros(200, |_| table.tick(now));
    Routing {
        choose,
        apply_list,
        tick,
        memory,
        list_bytes: list(servers, 340).1,
    }
}

/// Returns a list of the platform, and its size as JSON text.
fn list(servers: usize, nodes: usize) -> (Instances, usize) {
    let server = |index: usize, fleet: &str| ListedInstance {
        id: format!("{fleet}-{index:05}"),
        fleet: fleet.to_owned(),
        zone: format!("availability-zone-{}", index % 8),
        address: format!("10.0.{}.{}:8000", index / 250, index % 250),
        state: State::Live,
    };
    let servers = (0..servers).map(|index| server(index, "kaisla-llm"));
    let nodes = (0..nodes).map(|index| server(index, "fescuerack"));
    let list = Instances {
        instances: servers.chain(nodes).collect(),
    };
    let bytes = serde_json::to_vec(&list).expect("plain fields").len();
    (list, bytes)
}

/// Measures the time to admit and finish one request in microseconds, with the
/// given number of organisations.
fn admission_of(organisations: usize) -> Spread {
    let mut names = Names::new();
    let names: Vec<_> = (0..organisations)
        .map(|index| names.organisations.intern(&format!("organisation-{index}")))
        .collect();
    let mut control = Controller::new(Thresholds::new(400));
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let now = clock::Instant::from_millis(1_000);
    micros(20_000, |index| {
        let request = admission::Request {
            organisation: names[usize::try_from(index).unwrap_or(0) % names.len()],
            weight: 1,
            session_hash: u64::from(index),
            class: None,
            priority: 5,
            long: false,
            deadline: now.plus_millis(30_000),
        };
        if let Verdict::Run(permit) = control.offer(now, &request, &mut rng) {
            control.finish(now, permit, admission::Completion::Ignored);
        }
        black_box(control.poll(now, &mut rng));
    })
}

/// Returns the stored sizes of a claim's record with an answer of 500 bytes, and
/// of a ledger entry in a segment.
fn stored_bytes() -> (usize, usize) {
    let record = claim::Record {
        digest: folder::digest(b"request"),
        nonce: u64::MAX,
        deadline: clock::Instant::from_millis(1_800_000_000_000),
        state: claim::State::Done(claim::Answer {
            status: 200,
            content_type: Some("application/json".to_owned()),
            body: bytes::Bytes::from(vec![b'x'; BODY_BYTES]),
        }),
    };
    // The body is stored after the record.
    let claim = serde_json::to_vec(&record).expect("plain fields").len() + BODY_BYTES;
    let entry = ledger::Entry {
        request: "0123456789abcdef-000000".to_owned(),
        organisation: "perhepalvelut-helsinki".to_owned(),
        version: "kaisla-mini@2".to_owned(),
        input_tokens: 800,
        output_tokens: 260,
        cost: 71,
        at: 1_800_000_000,
        label: "0123456789abcdef0123456789abcdef".to_owned(),
        requests: 1,
    };
    let entry = serde_json::to_vec(&entry).expect("plain fields").len();
    (claim, entry)
}

/// Real processes and a platform with a long server list.
struct World {
    _runtime: tokio::runtime::Runtime,
    platform: Platform,
    _engine: Engine,
    processes: Vec<Child>,
    settings: Vec<tempfile::NamedTempFile>,
}

impl World {
    fn new(nodes: usize, servers: usize) -> Self {
        let runtime = tokio::runtime::Runtime::new().expect("a runtime");
        let platform = Platform::new(runtime.handle(), "127.0.0.1:0").expect("a platform");
        let store = HttpStore::new(&platform.address());
        let folder = configuration(100, VERSIONS).with_file(
            "20-backends.yaml",
            "backends:\n  kaisla-llm: {kind: engine, versions: [model-0@1]}\n".to_owned(),
        );
        manifest::publish(&store, &folder, "bench").expect("accepted");
        let pace = Pace {
            first_token_ms: 5,
            token_ms: 2,
        };
        let engine = Engine::new(runtime.handle(), "127.0.0.1:0", pace).expect("an engine");
        for mut instance in list(servers, 0).0.instances {
            instance.address = engine.address();
            platform.set_instance(instance);
        }
        let mut world = Self {
            _runtime: runtime,
            processes: Vec::new(),
            settings: Vec::new(),
            _engine: engine,
            platform,
        };
        let client = agent(1);
        for index in 0..nodes {
            world.start(index, &client);
        }
        world
    }

    fn start(&mut self, index: usize, client: &Agent) {
        let ports = [0; 3].map(|_| {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
            listener.local_addr().expect("an address").port()
        });
        let mut file = tempfile::NamedTempFile::new().expect("a file");
        let [callers, operators, peers] = ports;
        write!(
            file,
            "instance: entry-{index}\nzone: availability-zone-{}\nplatform: {}\n\
             peer_key: a key for the bench\nlisten:\n  callers: 127.0.0.1:{callers}\n  \
             operators: 127.0.0.1:{operators}\n  peers: 127.0.0.1:{peers}\n",
            index % 8,
            self.platform.address()
        )
        .expect("settings are written");
        let child = Command::new(env!("CARGO_BIN_EXE_fescuerackd"))
            .args(["run", "--settings"])
            .arg(file.path())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("a process starts");
        self.processes.push(child);
        self.settings.push(file);
        self.platform.set_instance(ListedInstance {
            id: format!("entry-{index}"),
            fleet: "fescuerack".to_owned(),
            zone: format!("availability-zone-{}", index % 8),
            address: format!("127.0.0.1:{peers}"),
            state: State::Live,
        });
        let url = format!("http://127.0.0.1:{operators}/readyz");
        while !client
            .get(&url)
            .call()
            .is_ok_and(|answer| answer.status() == 200)
        {
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Measures the share of a core in percent and the resident memory in MB of
    /// each idle process.
    fn measure_idle(&self) -> (Spread, Spread) {
        let ids: Vec<_> = self
            .processes
            .iter()
            .map(|child| child.id().to_string())
            .collect();
        std::thread::sleep(Duration::from_secs(2));
        let before: Vec<_> = ids.iter().map(|id| ticks(id)).collect();
        let started = Instant::now();
        std::thread::sleep(IDLE_WINDOW);
        let seconds = started.elapsed().as_secs_f64();
        let cpu = ids.iter().zip(before);
        let cpu = cpu.map(|(id, before)| (ticks(id) - before) / 100.0 / seconds * 100.0);
        let memory = ids.iter().map(|id| resident(id) / 1e6);
        (Spread::new(cpu.collect()), Spread::new(memory.collect()))
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

/// Returns the processor time of a process, in hundredths of a second.
fn ticks(process: &str) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(") ").next().unwrap_or("").split(' ').collect();
    let number = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok());
    number(11).unwrap_or(0.0) + number(12).unwrap_or(0.0)
}

fn main() {
    if let Ok(structure) = std::env::var(HOLD) {
        return print_held_bytes(&structure);
    }
    println!("## Configuration");
    println!("| organisations | versions | text | parse, merge and compile | memory |");
    println!("| --- | --- | --- | --- | --- |");
    let mut planned = None;
    for (organisations, versions) in [(100, 10), (1_000, 10), (3_000, 10), (1_000, 100)] {
        let found = compile(organisations, versions);
        println!(
            "| {organisations} | {versions} | {:.0} KB | {} | {:.2} MB |",
            float(found.text_bytes) / 1e3,
            found.millis.show("ms"),
            found.memory / 1e6
        );
        if (organisations, versions) == (ORGANISATIONS, VERSIONS) {
            planned = Some(found);
        }
    }
    let planned = planned.expect("the planned size is measured");

    println!("\n## Servers");
    println!("| servers | choose | take over the list | tick | memory a server | list in JSON |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let mut route = None;
    for servers in [12, 100, SERVERS, 9_100] {
        let found = routing(servers);
        println!(
            "| {servers} | {} | {} | {} | {:.0} B | {:.0} KB |",
            found.choose.show("µs"),
            found.apply_list.show("µs"),
            found.tick.show("µs"),
            found.memory,
            float(found.list_bytes) / 1e3
        );
        if servers == SERVERS {
            route = Some(found);
        }
    }
    let route = route.expect("the planned size is measured");

    println!("\n## Admission, sessions, records");
    println!("| what | figure |");
    println!("| --- | --- |");
    for organisations in [10, 1_000] {
        let found = admission_of(organisations).show("µs");
        println!("| let in and out, {organisations} organisations | {found} |");
    }
    let position = micros(20_000, |index| {
        black_box(session::position("kaisla-mini", &index.to_be_bytes()));
    });
    println!("| position of a session | {} |", position.show("µs"));
    let (claim, entry) = stored_bytes();
    println!("| record of a claim with an answer of 500 bytes | {claim} B |");
    println!("| entry of the ledger | {entry} B |");

    println!("\n## Processes at rest");
    println!("| instances | servers | share of a core | resident memory |");
    println!("| --- | --- | --- | --- |");
    for (nodes, servers) in [(3, 12), (9, 12), (3, SERVERS), (3, 9_100)] {
        let world = World::new(nodes, servers);
        let (cpu, memory) = world.measure_idle();
        println!(
            "| {nodes} | {servers} | {} | {} |",
            cpu.show("%"),
            memory.show("MB")
        );
    }

    println!("\n## At the planned size, one instance");
    println!("| role | a second | processor | bytes a second |");
    println!("| --- | --- | --- | --- |");
    let share = |micros: f64, times: f64| format!("{:.4}%", micros * times / 1e4);
    println!(
        "| configuration | {CHANGES_PER_SECOND:.3} changes | {} | {:.0} |",
        share(planned.millis.median * 1e3, CHANGES_PER_SECOND),
        float(planned.text_bytes) / (float(ORGANISATIONS) / 50.0) * CHANGES_PER_SECOND
    );
    println!(
        "| list of instances, whole | 2 readings | {} | {:.0} |",
        share(route.apply_list.median + route.tick.median, 2.0),
        float(route.list_bytes) * 2.0
    );
    println!(
        "| list of instances, by tag | 2 readings, {LIST_CHANGES_PER_SECOND:.4} changes | {} | {:.0} |",
        share(route.apply_list.median + route.tick.median, 2.0),
        float(route.list_bytes) * LIST_CHANGES_PER_SECOND + UNCHANGED_BYTES * 2.0
    );
    println!(
        "| choice of servers | {REQUESTS_PER_SECOND:.1} | {} | 0 |",
        share(route.choose.median, REQUESTS_PER_SECOND)
    );
    println!(
        "| ledger | {REQUESTS_PER_SECOND:.1} entries | | {:.0} |",
        float(entry) * REQUESTS_PER_SECOND
    );
}
