//! The route table finds routes by host and path prefix.

use std::sync::Arc;
use std::time::Duration;

use daisyhinge::routing::{RouteTable, normalize_host};
use daisyhinge::vocabulary::site::{RouteKind, RouteTarget, SiteConfig, SiteRoute};

fn route(name: &str, host: &str, path_prefix: &str) -> Arc<SiteRoute> {
    Arc::new(SiteRoute {
        name: name.into(),
        host: host.into(),
        path_prefix: path_prefix.into(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        attempts_max: 1,
        priority: 0,
        allowed_regions: Arc::from([]),
        is_public: false,
        target: RouteTarget::Split(Arc::from([])),
    })
}

fn open_table(routes: Vec<Arc<SiteRoute>>) -> RouteTable {
    RouteTable::open(&SiteConfig {
        routes,
        ..SiteConfig::default()
    })
}

/// Guards against a request that gets 404 because its host is written in another way.
#[test]
fn host_is_found_in_any_case_with_port_or_final_dot() {
    for host in ["h.example", "H.Example", "h.example:8080", "h.example."] {
        let table = open_table(vec![route("r", host, "/r/")]);
        for asked in ["h.example", "H.EXAMPLE", "h.example:80", "H.example.:443"] {
            let found = table.find_route(asked, "/r/x").map(|route| &*route.name);
            assert_eq!(found, Some("r"), "{host} as {asked}");
            assert_eq!(table.routes_of(asked).len(), 1, "{host} as {asked}");
        }
        assert!(table.find_route("i.example", "/r/x").is_none());
    }
}

#[test]
fn addresses_of_version_6_are_told_apart() {
    let table = open_table(vec![route("a", "[::1]", "/"), route("b", "[::2]:80", "/")]);
    let name = |host| table.find_route(host, "/x").map(|route| &*route.name);
    assert_eq!((name("[::1]:8080"), name("[::2]")), (Some("a"), Some("b")));
    assert_eq!(name("[::3]"), None);
}

#[test]
fn longest_prefix_of_all_spellings_of_a_host_is_found() {
    let table = open_table(vec![
        route("short", "h.example", "/a/"),
        route("long", "H.EXAMPLE", "/a/b/"),
    ]);
    let found = table.find_route("h.example", "/a/b/c");
    assert_eq!(found.map(|route| &*route.name), Some("long"));
}

#[test]
fn normalized_host_is_stable() {
    for host in ["", "H", "h.example..", "[::A]:1", "h:1:2", "[", ":80"] {
        let once = normalize_host(host).into_owned();
        assert_eq!(normalize_host(&once), once, "{host}");
    }
}
