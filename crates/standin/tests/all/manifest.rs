//! Reading the configuration over HTTP.

use std::collections::BTreeMap;

use bytes::Bytes;
use fescuerack_client::HttpStore;
use fescuerack_client::manifest::{self, Applied};
use fescuerack_config::Folder;
use fescuerack_core::activation::{ChangeRequest, Manifest};
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

// An operator's tool loses the answer to a change. The change was accepted and
// a colleague has undone it since. The tool sends it again: the files stand as
// the operator saw them, and the change would come into force a second time.
#[test]
fn apply_sent_again_after_it_was_undone_changes_nothing() {
    let runtime = Runtime::new().expect("a runtime");
    let platform = Platform::new(runtime.handle(), "127.0.0.1:0").expect("platform");
    let store = HttpStore::new(&platform.address());
    let folder = Folder::new().with_file("a.yaml", "models: {a: {}}\n");
    manifest::publish(&store, &folder, "test").expect("accepted");
    let seen = || manifest::read(&store).expect("an answer").expect("one").1;
    let first = change_request(&seen(), "r-1", Some("models: {b: {}}\n"));
    let accepted = Applied::Accepted { revision: 2 };
    assert_eq!(manifest::apply(&store, first.clone()), accepted);
    let undo = change_request(&seen(), "r-2", None);
    assert_eq!(
        manifest::apply(&store, undo),
        Applied::Accepted { revision: 3 }
    );
    assert_eq!(manifest::apply(&store, first), accepted);
    assert_eq!(seen().revision, 3);
}
