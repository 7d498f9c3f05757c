//! Reading and changing the configuration over HTTP.

use std::collections::BTreeMap;

use bytes::Bytes;
use fescuerack_client::HttpStore;
use fescuerack_client::manifest::{self, Applied};
use fescuerack_config::Folder;
use fescuerack_core::activation::{ChangeRequest, Manifest};
use fescuerack_standin::{Fault, Platform};
use tokio::runtime::Runtime;

// Every second read of the store is stale. An instance reads the new manifest, does not find a file
// of it in the replica that lags, and starts again with the manifest, in the same order each time.
// It would never activate the accepted configuration.
#[test]
fn fetch_every_second_read_old_finds_the_file() {
    let runtime = Runtime::new().expect("a runtime");
    let platform = Platform::new(runtime.handle(), "127.0.0.1:0").expect("platform");
    let store = HttpStore::new(&platform.address());
    let folder = Folder::new().with_file("a.yaml", "models: {a: {}}\n");
    let revision = manifest::publish(&store, &folder, "test").expect("accepted");
    platform.store_faults().set(Fault::StaleReads, 2);
    let fetched = (0..4).filter_map(|_| {
        let (_, manifest) = manifest::read(&store).ok()??;
        manifest::fetch(&store, &manifest).ok()
    });
    assert!(
        fetched.into_iter().any(|found| found == folder),
        "revision {revision}"
    );
}

fn change_request(base: &Manifest, request: &str, content: Option<&'static str>) -> ChangeRequest {
    let content = content.map(|text| Bytes::from_static(text.as_bytes()));
    ChangeRequest {
        base: base.clone(),
        files: BTreeMap::from([("b.yaml".to_owned(), content)]),
        author: "test".to_owned(),
        reason: "test".to_owned(),
        at: 0,
        request: request.to_owned(),
    }
}

// The answer to a change is lost, the change was accepted, and another operator has reverted it
// since. The tool sends the change again: the files are as in its base, so that it would be
// activated a second time.
#[test]
fn apply_sent_again_after_it_was_undone_changes_nothing() {
    let runtime = Runtime::new().expect("a runtime");
    let platform = Platform::new(runtime.handle(), "127.0.0.1:0").expect("platform");
    let store = HttpStore::new(&platform.address());
    let folder = Folder::new().with_file("a.yaml", "models: {a: {}}\n");
    manifest::publish(&store, &folder, "test").expect("accepted");
    let current = || manifest::read(&store).expect("an answer").expect("one").1;
    let first = change_request(&current(), "r-1", Some("models: {b: {}}\n"));
    let accepted = Applied::Accepted { revision: 2 };
    assert_eq!(manifest::apply(&store, first.clone()), accepted);
    let revert = change_request(&current(), "r-2", None);
    assert_eq!(
        manifest::apply(&store, revert),
        Applied::Accepted { revision: 3 }
    );
    assert_eq!(manifest::apply(&store, first), accepted);
    assert_eq!(current().revision, 3);
}
