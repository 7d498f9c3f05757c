//! Lookup of the route of a request.

use std::sync::Arc;

use fescuerack_gateway::catalog::{Kind, Route};
use fescuerack_gateway::routes::Routes;
use proptest::prelude::*;
use rstest::rstest;

fn route(name: &str, host: &str, prefix: &str) -> Arc<Route> {
    Arc::new(Route {
        name: name.into(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Idempotent,
        destinations: Vec::new(),
        timeout_ms: None,
        target_latency_ms: None,
        inter_token_target_ms: None,
        attempts: 1,
        priority: 0,
        public: false,
        resumable: false,
        models: Vec::new(),
        regions: Vec::new(),
    })
}

#[rstest]
#[case::longest("/a/b/c", Some("ab"))]
#[case::shorter("/a/x", Some("a"))]
#[case::exact("/a/b/", Some("ab"))]
#[case::no_slash_yet("/a/b", Some("a"))]
#[case::any("/x", Some("all"))]
#[case::within_a_letter("/å", Some("all"))]
#[case::empty("", None)]
fn find_longest_prefix(#[case] path: &str, #[case] name: Option<&str>) {
    let routes: Routes = [
        route("all", "Books.example", "/"),
        route("a", "books.example", "/a/"),
        route("ab", "books.example", "/a/b/"),
        route("other", "other.example", "/a/b/c/"),
    ]
    .into_iter()
    .collect();
    for host in ["books.example", "BOOKS.example"] {
        let found = routes.find(host, path).map(|route| &*route.name);
        assert_eq!(found, name);
    }
    assert_eq!(routes.find("none.example", path), None);
    assert_eq!(routes.len(), 4);
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(25),
        ..ProptestConfig::default()
    })]

    /// The result is the same as that of a linear scan of all routes.
    #[test]
    fn find_agrees_with_linear_scan(
        prefixes in proptest::collection::vec("(/[ab]{0,2}){1,4}/?", 0..12),
        path in "(/[ab]{0,2}){0,5}",
    ) {
        let list: Vec<Arc<Route>> = prefixes
            .iter()
            .enumerate()
            .map(|(number, prefix)| route(&number.to_string(), "h", prefix))
            .collect();
        let longest = list
            .iter()
            .filter(|route| path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
            .cloned();
        let routes: Routes = list.into_iter().collect();
        prop_assert_eq!(routes.find("h", &path).cloned(), longest);
    }
}
