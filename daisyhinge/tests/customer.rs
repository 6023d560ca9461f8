//! Tests of the table that identifies customers by the digests of their keys.

use std::fs;
use std::sync::Arc;

use daisyhinge::customer::{CustomerTable, digest_key, intersect_regions};
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::site::SiteCustomer;

/// Memory that the table of 1,000 customers with 10 keys each may take, in KiB. An entry may use
/// 160 MB and holds two tables while it changes from one configuration to the next.
const TABLE_MAX_KIB: u64 = 8 << 10;

fn customer(name: &str, keys: &[String], regions: &[&str]) -> Arc<SiteCustomer> {
    Arc::new(SiteCustomer {
        name: name.into(),
        digests: keys.iter().map(|key| digest_key(key.as_bytes())).collect(),
        priority: None,
        allowed_regions: regions.iter().map(|name| RegionName::from(*name)).collect(),
        quota: None,
    })
}

fn key(customer: usize, number: usize) -> String {
    format!("key-{customer}-{number}")
}

fn many_customers() -> Vec<Arc<SiteCustomer>> {
    let keys_of = |index| -> Vec<String> { (0..10).map(|number| key(index, number)).collect() };
    (0..1_000)
        .map(|index| customer(&format!("customer-{index}"), &keys_of(index), &[]))
        .collect()
}

/// Guards against a wrong implementation or encoding of the digest: both sides of a link must agree.
#[test]
fn digest_is_sha256() {
    let expected = [
        0xba, 0x78, 0x16, 0xbf, 0x8f, 0x01, 0xcf, 0xea, 0x41, 0x41, 0x40, 0xde, 0x5d, 0xae, 0x22,
        0x23, 0xb0, 0x03, 0x61, 0xa3, 0x96, 0x17, 0x7a, 0x9c, 0xb4, 0x10, 0xff, 0x61, 0xf2, 0x00,
        0x15, 0xad,
    ];
    assert_eq!(digest_key(b"abc").0, expected);
    assert_eq!(format!("{:?}", digest_key(b"abc")), "KeyDigest(..)");
}

/// Guards against keys that are lost or mapped to another customer when buckets are filled.
#[test]
fn every_key_finds_its_customer_and_no_other_key_does() {
    let table = CustomerTable::open(many_customers());
    for index in 0..1_000 {
        for number in 0..10 {
            let found = table.find(&digest_key(key(index, number).as_bytes()));
            let name = found.map(|customer| customer.name.to_string());
            assert_eq!(name, Some(format!("customer-{index}")));
        }
        let unknown = digest_key(key(index, 10).as_bytes());
        assert!(table.find(&unknown).is_none());
    }
}

/// Guards against accepting the digest that fills unused slots, and against a panic without keys.
#[test]
fn unused_slots_and_empty_tables_match_nothing() {
    let zero = daisyhinge::vocabulary::site::KeyDigest([0; 32]);
    assert!(CustomerTable::open(many_customers()).find(&zero).is_none());
    assert!(
        CustomerTable::open(Vec::new())
            .find(&digest_key(b"any"))
            .is_none()
    );
    let keyless = CustomerTable::open(vec![customer("keyless", &[], &[])]);
    assert!(keyless.find(&digest_key(b"any")).is_none());
}

/// Regions of the route, of the customer, and those of both.
type RegionCase = (
    &'static [&'static str],
    &'static [&'static str],
    Result<&'static [&'static str], ResultCode>,
);

#[test]
fn regions_of_route_and_customer_both_apply() {
    let regions = |names: &[&str]| -> Arc<[RegionName]> {
        names.iter().map(|name| RegionName::from(*name)).collect()
    };
    let cases: [RegionCase; 5] = [
        (&[], &[], Ok(&[])),
        (&["north"], &[], Ok(&["north"])),
        (&[], &["south"], Ok(&["south"])),
        (&["north", "south"], &["south", "east"], Ok(&["south"])),
        (&["north"], &["south"], Err(ResultCode::NoCommonRegion)),
    ];
    for (route, customer, expected) in cases {
        let common = intersect_regions(&regions(route), &regions(customer));
        assert_eq!(common, expected.map(regions), "{route:?} {customer:?}");
    }
}

/// Returns the resident memory of this process in KiB.
fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("the status of the process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|text| text.split_whitespace().next());
    number.and_then(|text| text.parse().ok()).expect("a number")
}

/// Guards against a table that grows out of proportion to the number of keys.
#[test]
fn table_of_ten_thousand_keys_is_small() {
    let customers = many_customers();
    let before = resident_kib();
    let tables: Vec<CustomerTable> = (0..8)
        .map(|_| CustomerTable::open(customers.clone()))
        .collect();
    let each = resident_kib().saturating_sub(before) / 8;
    println!("{each} KiB for each of {} tables", tables.len());
    assert!(each <= TABLE_MAX_KIB, "{each} KiB");
}
