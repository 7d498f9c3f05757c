//! Stand-ins in the process of the bench.

use std::path::Path;

use anyhow::Result;
use fescuerack_client::{HttpStore, manifest};
use fescuerack_config::Folder;
use fescuerack_core::route::State;
use fescuerack_standin::{Engine, Pace, Platform};
use fescuerack_wire::discovery::ListedInstance;
use tokio::runtime::Runtime;

/// The platform and a single engine for the fleet of the configuration, so that
/// all sides use the same engine.
pub struct World {
    pub runtime: Runtime,
    pub platform: Platform,
    pub engines: Vec<Engine>,
}

impl World {
    pub fn new(pace: Pace) -> Result<Self> {
        let runtime = Runtime::new()?;
        let platform = Platform::new(runtime.handle(), "127.0.0.1:0")?;
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/hoivapolku");
        let folder = Folder::read(&root)?;
        manifest::publish(&HttpStore::new(&platform.address()), &folder, "bench")?;
        let engine = Engine::new(runtime.handle(), "127.0.0.1:0", pace)?;
        platform.set_instance(ListedInstance {
            id: "engine-0".to_owned(),
            fleet: "kaisla-llm".to_owned(),
            zone: "espoo-a".to_owned(),
            address: engine.address(),
            state: State::Live,
        });
        Ok(Self {
            runtime,
            platform,
            engines: vec![engine],
        })
    }
}
