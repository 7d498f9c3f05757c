//! The demo: stand-ins of the platform and of backend servers, and instances of
//! the router, in one process on loopback.

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
use fescuerack_wire::discovery::ListedInstance;
use serde::Serialize;
use tokio::runtime::Runtime;

/// Servers in each fleet of engines.
const SERVERS_PER_ENGINE_FLEET: usize = 12;
/// Servers in each fleet of a plain service.
const SERVERS_PER_SERVICE_FLEET: usize = 4;
/// Token timing of the stand-in engines.
const ENGINE_PACE: Pace = Pace {
    first_token_ms: 30,
    token_ms: 10,
};
/// Time that a plain service takes to answer.
const SERVICE_DELAY: Duration = Duration::from_millis(20);
/// Time within which every instance must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Availability zone of servers whose fleet names no zone.
const DEFAULT_ZONE: &str = "local";

/// Key that the demo's instances share. It is not secret: the demo listens on
/// loopback only.
const PEER_KEY: &str = "the demo's key of its peers";

/// Addresses, keys and names that the demo prints when it is ready.
#[derive(Clone, Debug, Serialize)]
pub struct Ready {
    /// URLs of the callers' ports.
    pub callers: Vec<String>,
    /// URLs of the operators' ports.
    pub operators: Vec<String>,
    /// Token of an operator who may change everything.
    pub operator_token: Option<String>,
    /// Address of the platform's store.
    pub store: String,
    /// Key of each organisation.
    pub keys: BTreeMap<String, String>,
    /// Names that a request may have in its field `model`.
    pub models: Vec<String>,
    /// Plain services whose calls are not idempotent.
    pub services: Vec<String>,
    /// Key of the organisation that may use the most services, then the most models.
    #[serde(skip)]
    pub default_key: Option<String>,
}

impl Ready {
    /// Returns the shell variables that the commands in the documentation use, so
    /// that they can be copied unchanged.
    pub fn variables(&self) -> String {
        let nodes = self.operators.iter();
        let nodes: Vec<_> = nodes.map(|url| url.trim_start_matches("http://")).collect();
        let callers = self.callers.first().map_or("", String::as_str);
        let token = self.operator_token.as_deref().unwrap_or("");
        let key = self.default_key.as_deref().unwrap_or("");
        format!(
            "export CALLERS={callers}\nexport KEY={key}\nexport FESCUERACK_NODE={}\n\
             export FESCUERACK_TOKEN={token}\nexport STORE={}\n",
            nodes.join(","),
            self.store
        )
    }
}

/// The running stand-ins and instances.
pub struct Deployment {
    runtime: Runtime,
    platform: Platform,
    engines: Vec<Engine>,
    services: Vec<Service>,
    nodes: Vec<Node>,
    ready: Ready,
}

impl Deployment {
    /// Starts the stand-ins and the instances, and waits until all are ready.
    ///
    /// # Errors
    ///
    /// Fails when the configuration is invalid, something cannot be started, or
    /// an instance does not become ready in time.
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
        let mut deployment = Self {
            ready: Ready {
                callers: Vec::new(),
                operators: Vec::new(),
                operator_token: operator_token(&merged),
                store: platform.address(),
                keys: demo_keys(&merged),
                models: models(&merged),
                services: services(&merged),
                default_key: default_key(&merged),
            },
            runtime,
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            nodes: Vec::new(),
        };
        for (name, version) in &merged.file.versions {
            let quality = version.quality.get("default").copied().unwrap_or(0.5);
            deployment.platform.set_quality(name, quality);
        }
        for (fleet, backend) in &merged.file.backends {
            deployment.start_fleet(fleet, backend, &any_port)?;
        }
        let zones = zones(&merged);
        for index in 0..instances {
            deployment.start_node(index, &zones[index % zones.len()], listen)?;
        }
        deployment.wait_until_ready()?;
        Ok(deployment)
    }

    /// Returns the addresses, keys and names that the demo prints.
    pub fn ready(&self) -> &Ready {
        &self.ready
    }

    /// Shuts every instance down without aborting requests, then stops the stand-ins.
    pub fn shutdown(self) {
        for node in self.nodes {
            node.shutdown();
        }
        drop(self.engines);
        drop(self.services);
        self.runtime.shutdown_background();
    }

    /// Starts the stand-in servers of a fleet, spread over its zones.
    fn start_fleet(&mut self, fleet: &str, backend: &Backend, listen: &str) -> Result<()> {
        let count = match backend.kind {
            Kind::Engine => SERVERS_PER_ENGINE_FLEET,
            Kind::Service => SERVERS_PER_SERVICE_FLEET,
        };
        for index in 0..count {
            let address = match backend.kind {
                Kind::Engine => {
                    let engine = Engine::new(self.runtime.handle(), listen, ENGINE_PACE)?;
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
            self.platform.set_instance(ListedInstance {
                id: format!("{fleet}-{index}"),
                fleet: fleet.to_owned(),
                zone: zone.map_or(DEFAULT_ZONE, String::as_str).to_owned(),
                address,
                state: State::Live,
            });
        }
        Ok(())
    }

    /// Starts an instance and adds it to the platform's list.
    fn start_node(&mut self, index: usize, zone: &str, listen: &str) -> Result<()> {
        let id = format!("entry-{index}");
        let settings = Settings::new(&id, zone, &self.platform.address(), PEER_KEY);
        let node = Node::new(settings.with_listen(Listen::new(listen)))?;
        self.platform.set_instance(ListedInstance {
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

    /// Waits until every instance is ready and has all others in its list.
    fn wait_until_ready(&self) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        let is_complete =
            |node: &Node| node.is_ready() && node.instance_count() == self.nodes.len();
        while !self.nodes.iter().all(is_complete) {
            ensure!(
                Instant::now() < deadline,
                "the instances did not become ready"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }
}

/// Returns the zones of all fleets; the default zone if there are none.
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

/// Returns the key of each organisation whose configuration holds the digest of
/// `demo-NAME`, as the examples do.
fn demo_keys(merged: &Merged) -> BTreeMap<String, String> {
    let mut keys = BTreeMap::new();
    for (name, organisation) in &merged.file.organisations {
        let key = format!("demo-{name}");
        if organisation.keys.contains(&folder::digest(key.as_bytes())) {
            keys.insert(name.clone(), key);
        }
    }
    keys
}

/// Returns the token of the first administrator whose configuration holds the
/// digest of `demo-operator-NAME`, as the examples do.
fn operator_token(merged: &Merged) -> Option<String> {
    let operators = merged.file.operators.iter();
    operators
        .filter(|(_, operator)| operator.admin)
        .map(|(name, operator)| (format!("demo-operator-{name}"), operator))
        .find(|(token, operator)| operator.tokens.contains(&folder::digest(token.as_bytes())))
        .map(|(token, _)| token)
}

/// Returns the key of the organisation that may use the most services, then the
/// most models.
fn default_key(merged: &Merged) -> Option<String> {
    let keys = demo_keys(merged);
    let organisations = merged.file.organisations.iter();
    organisations
        .filter(|(name, _)| keys.contains_key(*name))
        .max_by_key(|(_, entry)| (entry.services.len(), entry.allow.len()))
        .and_then(|(name, _)| keys.get(name).cloned())
}

/// Returns the names that a request may have in its field `model`.
fn models(merged: &Merged) -> Vec<String> {
    let classes = merged.file.targets.keys();
    let classes = classes.map(|class| format!("auto:{class}"));
    merged.file.models.keys().cloned().chain(classes).collect()
}

/// Returns the plain services whose calls are not idempotent.
fn services(merged: &Merged) -> Vec<String> {
    let services = merged.file.services.iter();
    services
        .filter(|(_, service)| !service.idempotent)
        .map(|(name, _)| name.clone())
        .collect()
}
