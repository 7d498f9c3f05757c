//! The example configurations are valid and match the deployments they describe.

use std::path::PathBuf;

use fescuerack_config::{Catalog, Folder, Merged, Names, folder};
use rstest::rstest;

pub fn example(name: &str) -> Folder {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    Folder::read(&root.join(name)).expect("the example is readable")
}

#[rstest]
#[case::hoivapolku("hoivapolku", &["espoo-a", "espoo-b", "helsinki-c", "vantaa-a"])]
#[case::opozivnik("opozivnik", &["ka-hall", "zg-hall1", "zg-hall2"])]
fn example_compiles_with_its_zones(#[case] name: &str, #[case] zones: &[&str]) {
    let merged = Merged::new(&example(name)).expect("no problems");
    let catalog = Catalog::new(1, &merged, &mut Names::new()).expect("no problems");
    assert_eq!(catalog.organisations.len(), 10);
    for backend in merged.file.backends.values() {
        let mut listed: Vec<_> = backend.zones.iter().map(String::as_str).collect();
        listed.sort_unstable();
        assert_eq!(listed, zones);
    }
}

// The demo and the documentation use these tokens and keys. A digest that no
// longer matches would lock out a reader who follows README.
#[rstest]
#[case::hoivapolku("hoivapolku")]
#[case::opozivnik("opozivnik")]
fn example_digests_match_the_documented_keys(#[case] name: &str) {
    let merged = Merged::new(&example(name)).expect("no problems");
    for (name, organisation) in &merged.file.organisations {
        let key = folder::digest(format!("demo-{name}").as_bytes());
        assert_eq!(organisation.keys, [key]);
    }
    assert!(merged.file.operators.values().any(|entry| entry.admin));
    for (name, operator) in &merged.file.operators {
        let token = folder::digest(format!("demo-operator-{name}").as_bytes());
        assert_eq!(operator.tokens, [token]);
    }
}
