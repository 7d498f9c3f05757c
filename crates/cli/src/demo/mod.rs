//! The demo: everything that a request meets, in one process on loopback.

pub mod once;

use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::{Context as _, Result, anyhow, ensure};
use fescuerack_client::{HttpStore, manifest};
use fescuerack_config::file::{Backend, Kind};
use fescuerack_config::{Folder, Merged, folder};
use fescuerack_core::route::State;
use fescuerack_node::{Listen, Node, Settings};
use fescuerack_standin::{Engine, Pace, Platform, Service};
use fescuerack_wire::discovery::Instance;
use serde::Serialize;
use tokio::runtime::Runtime;

/// Servers of one engine fleet.
const ENGINES: usize = 12;
/// Servers of one fleet of a plain service.
const SERVICES: usize = 4;
/// Pace of the stand-in engines.
const PACE: Pace = Pace {
    first_token_ms: 30,
    token_ms: 10,
};
/// Time that a plain service takes.
const SERVICE_DELAY: Duration = Duration::from_millis(20);
/// Time within which every instance must be ready.
const READY: Duration = Duration::from_secs(15);
/// Availability zone of servers whose fleet names none.
const DEFAULT_ZONE: &str = "local";

/// Key that the demo's instances share; the demo listens on loopback only.
const PEER_KEY: &str = "the demo's key of its peers";

/// What the demo prints when it is ready.
#[derive(Clone, Debug, Serialize)]
pub struct Ready {
    /// Addresses for callers.
    pub callers: Vec<String>,
    /// Addresses for operators.
    pub operators: Vec<String>,
    /// Token of an operator who may change everything.
    pub operator_token: Option<String>,
    /// Address of the platform's store.
    pub store: String,
    /// Key of each organisation.
    pub keys: BTreeMap<String, String>,
    /// Names for the field `model`.
    pub models: Vec<String>,
    /// Plain services whose calls may not be repeated.
    pub services: Vec<String>,
    /// Key of the organisation that may use most.
    #[serde(skip)]
    pub widest: Option<String>,
}

impl Ready {
    /// Returns shell variables with which the commands of the pages can be
    /// copied as they stand.
    pub fn variables(&self) -> String {
        let nodes = self.operators.iter();
        let nodes: Vec<_> = nodes.map(|url| url.trim_start_matches("http://")).collect();
        let callers = self.callers.first().map_or("", String::as_str);
        let token = self.operator_token.as_deref().unwrap_or("");
        let key = self.widest.as_deref().unwrap_or("");
        format!(
            "export CALLERS={callers}\nexport KEY={key}\nexport FESCUERACK_NODE={}\n\
             export FESCUERACK_TOKEN={token}\nexport STORE={}\n",
            nodes.join(","),
            self.store
        )
    }
}

/// Everything that runs.
pub struct Scene {
    runtime: Runtime,
    platform: Platform,
    engines: Vec<Engine>,
    services: Vec<Service>,
    nodes: Vec<Node>,
    ready: Ready,
}

impl Scene {
    /// Starts everything and waits until it is ready.
    ///
    /// # Errors
    ///
    /// When the configuration is wrong or something cannot be started.
    pub fn new(config: &Path, instances: usize, listen: &str) -> Result<Self> {
        let files = Folder::read(config)
            .with_context(|| format!("read configuration {}", config.display()))?;
        ensure!(
            !files.files.is_empty(),
            "{} holds no .yaml file",
            config.display()
        );
        let merged = Merged::new(&files).map_err(|problems| anyhow!("{}", problems[0]))?;
        let runtime = Runtime::new().context("start the runtime")?;
        let any_port = format!("{listen}:0");
        let platform = Platform::new(runtime.handle(), &any_port)?;
        manifest::publish(&HttpStore::new(&platform.address()), &files, "demo")?;
        let mut scene = Self {
            ready: Ready {
                callers: Vec::new(),
                operators: Vec::new(),
                operator_token: operator_token(&merged),
                store: platform.address(),
                keys: keys(&merged),
                models: models(&merged),
                services: services(&merged),
                widest: widest(&merged),
            },
            runtime,
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            nodes: Vec::new(),
        };
        for (name, version) in &merged.file.versions {
            let quality = version.quality.get("default").copied().unwrap_or(0.5);
            scene.platform.set_quality(name, quality);
        }
        for (fleet, backend) in &merged.file.backends {
            scene.start_fleet(fleet, backend, &any_port)?;
        }
        let zones = zones(&merged);
        for index in 0..instances {
            scene.start_node(index, &zones[index % zones.len()], listen)?;
        }
        scene.wait_until_ready()?;
        Ok(scene)
    }

    /// Returns what the demo prints when it is ready.
    pub fn ready(&self) -> &Ready {
        &self.ready
    }

    /// Ends every instance without cutting a request.
    pub fn shutdown(self) {
        for node in self.nodes {
            node.shutdown();
        }
        drop(self.engines);
        drop(self.services);
        self.runtime.shutdown_background();
    }

    fn start_fleet(&mut self, fleet: &str, backend: &Backend, listen: &str) -> Result<()> {
        let count = match backend.kind {
            Kind::Engine => ENGINES,
            Kind::Service => SERVICES,
        };
        for index in 0..count {
            let address = match backend.kind {
                Kind::Engine => {
                    let engine = Engine::new(self.runtime.handle(), listen, PACE)?;
                    let address = engine.address();
                    self.engines.push(engine);
                    address
                }
                Kind::Service => {
                    let service = Service::new(self.runtime.handle(), listen, SERVICE_DELAY)?;
                    let address = service.address();
                    self.services.push(service);
                    address
                }
            };
            let zone = backend.zones.get(index % backend.zones.len().max(1));
            self.platform.set_instance(Instance {
                id: format!("{fleet}-{index}"),
                fleet: fleet.to_owned(),
                zone: zone.map_or(DEFAULT_ZONE, String::as_str).to_owned(),
                address,
                state: State::Live,
            });
        }
        Ok(())
    }

    fn start_node(&mut self, index: usize, zone: &str, listen: &str) -> Result<()> {
        let id = format!("entry-{index}");
        let settings = Settings::new(&id, zone, &self.platform.address(), PEER_KEY);
        let node = Node::new(settings.with_listen(Listen::new(listen)))?;
        self.platform.set_instance(Instance {
            id,
            fleet: "fescuerack".to_owned(),
            zone: zone.to_owned(),
            address: node.peers().to_string(),
            state: State::Live,
        });
        self.ready
            .callers
            .push(format!("http://{}", node.callers()));
        self.ready
            .operators
            .push(format!("http://{}", node.operators()));
        self.nodes.push(node);
        Ok(())
    }

    fn wait_until_ready(&self) -> Result<()> {
        let deadline = Instant::now() + READY;
        let complete = |node: &Node| node.is_ready() && node.fleet_size() == self.nodes.len();
        while !self.nodes.iter().all(complete) {
            ensure!(
                Instant::now() < deadline,
                "the instances did not become ready"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }
}

fn zones(merged: &Merged) -> Vec<String> {
    let mut zones: Vec<String> = merged
        .file
        .backends
        .values()
        .flat_map(|backend| backend.zones.iter().cloned())
        .collect();
    zones.sort();
    zones.dedup();
    if zones.is_empty() {
        zones.push(DEFAULT_ZONE.to_owned());
    }
    zones
}

/// Returns the keys that the examples' digests were made from.
fn keys(merged: &Merged) -> BTreeMap<String, String> {
    let mut keys = BTreeMap::new();
    for (name, organisation) in &merged.file.organisations {
        let key = format!("demo-{name}");
        if organisation.keys.contains(&folder::digest(key.as_bytes())) {
            keys.insert(name.clone(), key);
        }
    }
    keys
}

/// Returns the token that the digest of the examples' administrator was made
/// from.
fn operator_token(merged: &Merged) -> Option<String> {
    let operators = merged.file.operators.iter();
    operators
        .filter(|(_, operator)| operator.admin)
        .map(|(name, operator)| (format!("demo-operator-{name}"), operator))
        .find(|(token, operator)| operator.tokens.contains(&folder::digest(token.as_bytes())))
        .map(|(token, _)| token)
}

fn widest(merged: &Merged) -> Option<String> {
    let keys = keys(merged);
    let organisations = merged.file.organisations.iter();
    organisations
        .filter(|(name, _)| keys.contains_key(*name))
        .max_by_key(|(_, entry)| (entry.services.len(), entry.allow.len()))
        .and_then(|(name, _)| keys.get(name).cloned())
}

fn models(merged: &Merged) -> Vec<String> {
    let classes = merged.file.targets.keys();
    let classes = classes.map(|class| format!("auto:{class}"));
    merged.file.models.keys().cloned().chain(classes).collect()
}

fn services(merged: &Merged) -> Vec<String> {
    let services = merged.file.services.iter();
    services
        .filter(|(_, service)| !service.idempotent)
        .map(|(name, _)| name.clone())
        .collect()
}
