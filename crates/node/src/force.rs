//! Follows the manifest in the store and puts each accepted configuration in
//! force.

use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result, anyhow};
use fescuerack_config::{Catalog, Folder, Merged};
use fescuerack_platform::{Store as _, manifest};

use crate::shared::{Force, Shared};
use crate::stop::Stop;

/// Time for which one watch waits at the store.
const WATCH: Duration = Duration::from_secs(10);
/// Time between two tries while the store is out.
const RETRY: Duration = Duration::from_millis(500);

/// Follows the manifest until `stop` is set.
pub fn follow(shared: &Arc<Shared>, stop: &Stop) {
    let mut seen = 0;
    loop {
        let result = step(shared, seen);
        match result {
            Ok(version) => seen = version,
            Err(_) => shared.metrics.count("force.store_failed"),
        }
        let pause = if result.is_ok() {
            Duration::ZERO
        } else {
            RETRY
        };
        if stop.wait(pause) {
            return;
        }
    }
}

fn step(shared: &Shared, seen: u64) -> Result<u64> {
    let latest = shared.store.watch(manifest::KEY, seen, WATCH)?;
    let Some((version, manifest)) = manifest::read(&shared.store)? else {
        return Ok(latest);
    };
    if manifest.revision > shared.force().catalog.revision {
        let folder = manifest::fetch(&shared.store, &manifest)?;
        let force = compile(shared, manifest.revision, &folder)?;
        if shared.put_in_force(force) {
            shared.metrics.count("force.changed");
            log::info!(revision = manifest.revision; "configuration in force");
        }
    }
    Ok(version.max(latest))
}

fn compile(shared: &Shared, revision: u64, folder: &Folder) -> Result<Force> {
    let merged = Merged::new(folder)
        .map_err(|problems| anyhow!("{}", problems[0]))
        .context("merge the configuration in force")?;
    shared.names(|names| {
        let catalog = Catalog::new(revision, &merged, names)
            .map_err(|problems| anyhow!("{}", problems[0]))
            .context("compile the configuration in force")?;
        Ok(Force {
            catalog,
            names: names.clone(),
        })
    })
}
