//! Reading the configuration over HTTP.

use fescuerack_config::Folder;
use fescuerack_platform::{HttpStore, manifest};
use fescuerack_standin::{Fault, Platform};
use tokio::runtime::Runtime;

// Every second read of the store is old. An instance reads the new manifest,
// then finds the file that it names missing in the copy that lags, and begins
// again with the manifest: in the same order, for ever. The accepted
// configuration never comes into force there.
#[test]
fn fetch_every_second_read_old_finds_the_file() {
    let runtime = Runtime::new().expect("a runtime");
    let platform = Platform::new(runtime.handle(), "127.0.0.1:0").expect("platform");
    let store = HttpStore::new(&platform.address());
    let folder = Folder::new().with_file("a.yaml", "models: {a: {}}\n");
    let revision = manifest::publish(&store, &folder, "test").expect("accepted");
    platform.store_faults().set(Fault::OldReads, 2);
    let fetched = (0..4).filter_map(|_| {
        let (_, manifest) = manifest::read(&store).ok()??;
        manifest::fetch(&store, &manifest).ok()
    });
    assert!(
        fetched.into_iter().any(|found| found == folder),
        "revision {revision}"
    );
}
