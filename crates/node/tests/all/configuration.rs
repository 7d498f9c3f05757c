//! Activation of configurations: concurrent operators, invalid files, missed
//! events.

use std::collections::BTreeMap;

use bytes::Bytes;
use fescuerack_client::manifest::{self, Applied, ChangeRequest, Manifest};
use fescuerack_client::{HttpStore, Store as _};
use fescuerack_standin::Fault;

use crate::support::{Cluster, Process, wait_until};

fn store(cluster: &Cluster) -> HttpStore {
    HttpStore::new(&cluster.platform.address())
}

/// Returns the manifest in the store.
fn current(cluster: &Cluster) -> Manifest {
    let read = manifest::read(&store(cluster)).expect("the store answers");
    read.expect("a manifest").1
}

fn change_request(
    base: &Manifest,
    author: &str,
    name: &str,
    content: &str,
    request: &str,
) -> ChangeRequest {
    ChangeRequest {
        base: base.clone(),
        files: BTreeMap::from([(name.to_owned(), Some(Bytes::from(content.to_owned())))]),
        author: author.to_owned(),
        reason: "test".to_owned(),
        at: manifest::unix_seconds(),
        request: request.to_owned(),
    }
}

fn wait_until_active(processes: &[Process], revision: u64) {
    for process in processes {
        wait_until("the revision is active", || process.revision() == revision);
    }
}

// Two teams repeatedly change different files at the same time. Every change
// must be accepted, none may undo another, and every instance must activate
// them all.
#[test]
fn apply_different_files_both_win() {
    const CHANGES: usize = 8;
    let cluster = Cluster::new();
    let processes = cluster.start_instances(["entry-0", "entry-1", "entry-2"]);
    let before = current(&cluster);
    let teams = ["lapset", "kuljetus"].map(|team| {
        let store = store(&cluster);
        let mut base = before.clone();
        std::thread::spawn(move || {
            for change in 0..CHANGES {
                let file = format!("90-{team}.yaml");
                let content = format!("models:\n  {team}: {{note: \"{change}\"}}\n");
                let request = format!("{team}-{change}");
                let change_request = change_request(&base, team, &file, &content, &request);
                let applied = manifest::apply(&store, change_request);
                assert!(matches!(applied, Applied::Accepted { .. }), "{applied:?}");
                base = manifest::read(&store).expect("an answer").expect("one").1;
            }
        })
    });
    for team in teams {
        team.join().expect("the team is done");
    }
    let after = current(&cluster);
    assert_eq!(after.revision, before.revision + 2 * CHANGES as u64);
    assert_eq!(after.files["90-lapset.yaml"].author, "lapset");
    assert_eq!(after.files["90-kuljetus.yaml"].author, "kuljetus");
    let history = manifest::history(&store(&cluster), 100).expect("a history");
    let revisions: Vec<_> = history.iter().map(|change| change.revision).collect();
    let expected: Vec<_> = (1..=after.revision).rev().collect();
    assert_eq!(revisions, expected, "every change is in the history");
    wait_until_active(&processes, after.revision);
}

// Two operators change the same file from the same state. The second must get a
// conflict that names the author of the accepted change, and its own change
// must not become active.
#[test]
fn apply_same_file_conflicts() {
    let cluster = Cluster::new();
    let base = current(&cluster);
    let store = store(&cluster);
    let first = change_request(
        &base,
        "aino",
        "90-lapset.yaml",
        "models:\n  a: {note: one}\n",
        "1",
    );
    let second = change_request(
        &base,
        "eero",
        "90-lapset.yaml",
        "models:\n  a: {note: two}\n",
        "2",
    );
    let revision = base.revision + 1;
    assert_eq!(
        manifest::apply(&store, first.clone()),
        Applied::Accepted { revision }
    );
    let Applied::Conflict { file, theirs } = manifest::apply(&store, second) else {
        panic!("no conflict");
    };
    assert_eq!(file, "90-lapset.yaml");
    assert_eq!(theirs.expect("an accepted change").author, "aino");
    assert_eq!(current(&cluster).revision, revision);
    // The first operator's tool did not receive the answer and sends the same
    // request again.
    assert_eq!(
        manifest::apply(&store, first),
        Applied::Accepted { revision }
    );
}

// An invalid file must be refused with its line. If an invalid file is written
// to the store without the tool, the instances must refuse it and keep the
// previous configuration active.
#[test]
fn apply_bad_file_keeps_the_active_configuration() {
    let cluster = Cluster::new();
    let process = cluster.start("entry-0");
    let before = current(&cluster);
    let store = store(&cluster);
    let bad = change_request(
        &before,
        "eero",
        "90-bad.yaml",
        "models:\n  a: {}\nnonsense: 2\n",
        "1",
    );
    let Applied::Refused(problems) = manifest::apply(&store, bad) else {
        panic!("not refused");
    };
    assert_eq!(
        (problems[0].file.as_str(), problems[0].line),
        ("90-bad.yaml", 3)
    );
    assert_eq!(current(&cluster), before);
    write_without_the_tool(&store, &before);
    wait_until("the bad revision is refused", || {
        process.state()["configuration"]["refused"] == before.revision + 1
    });
    assert_eq!(process.revision(), before.revision);
    assert!(process.is_ready());
}

/// Writes a manifest with an invalid file, which the tool would refuse.
fn write_without_the_tool(store: &HttpStore, before: &Manifest) {
    let content = Bytes::from("nonsense: 2\n");
    let digest = fescuerack_config::folder::digest(&content);
    let key = format!("config/file/{digest}");
    store.swap(&key, 0, content, None).expect("an answer");
    let mut manifest = before.clone();
    manifest.revision += 1;
    let file = manifest::File {
        digest,
        ..manifest::File::default()
    };
    manifest.files.insert("90-bad.yaml".to_owned(), file);
    let (version, _) = manifest::read(store).expect("an answer").expect("one");
    let bytes = Bytes::from(serde_json::to_vec(&manifest).expect("plain fields"));
    let swapped = store.swap(manifest::KEY, version, bytes, None);
    assert!(matches!(swapped, Ok(fescuerack_client::Swap::Swapped(_))));
}

// Watch events are lost or delayed, or reads return old values. An accepted
// change must still become active on every instance and stay active.
#[rstest::rstest]
#[case::missed(Fault::DropWatchEvents, 1)]
#[case::late(Fault::WatchDelayMs, 700)]
#[case::old_reads(Fault::StaleReads, 2)]
fn apply_watch_faults_in_force(#[case] fault: Fault, #[case] value: u64) {
    let cluster = Cluster::new();
    let processes = cluster.start_instances(["entry-0", "entry-1"]);
    let mut revision = current(&cluster).revision;
    cluster.platform.store_faults().set(fault, value);
    for change in 0..3 {
        let content = format!("models:\n  a: {{note: \"{change}\"}}\n");
        let current = cluster.platform.with_store(|store| {
            let value = store.get(manifest::KEY).expect("a manifest");
            serde_json::from_slice::<Manifest>(&value.bytes).expect("JSON")
        });
        let request = change.to_string();
        let change_request = change_request(&current, "aino", "90-a.yaml", &content, &request);
        let applied = manifest::apply(&store(&cluster), change_request);
        revision = current.revision + 1;
        assert_eq!(applied, Applied::Accepted { revision });
    }
    wait_until_active(&processes, revision);
}
