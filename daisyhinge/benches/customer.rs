//! Benchmark of the look-up of a customer by the key of a request, with 1,000 customers of 10 keys.

use std::hint::black_box;
use std::sync::Arc;

use criterion::{Criterion, criterion_group, criterion_main};
use daisyhinge::customer::{CustomerTable, digest_key};
use daisyhinge::vocabulary::site::SiteCustomer;

const CUSTOMERS: usize = 1_000;
const KEYS: usize = 10;

fn key(customer: usize, number: usize) -> String {
    format!("key-{customer:010}-{number:05}")
}

fn make_customers() -> Vec<Arc<SiteCustomer>> {
    let customer = |index| {
        let keys = (0..KEYS).map(|number| key(index, number));
        Arc::new(SiteCustomer {
            name: format!("customer-{index}").into(),
            digests: keys.map(|key| digest_key(key.as_bytes())).collect(),
            priority: None,
            allowed_regions: Arc::from([]),
            quota: None,
        })
    };
    (0..CUSTOMERS).map(customer).collect()
}

fn bench_lookups(criterion: &mut Criterion) {
    let customers = make_customers();
    let table = CustomerTable::open(customers.clone());
    let (known, unknown) = (key(500, 5), key(500, KEYS));
    criterion.bench_function("known key", |bencher| {
        bencher.iter(|| {
            table
                .find(&digest_key(black_box(&known).as_bytes()))
                .is_some()
        });
    });
    criterion.bench_function("unknown key", |bencher| {
        bencher.iter(|| {
            table
                .find(&digest_key(black_box(&unknown).as_bytes()))
                .is_some()
        });
    });
    criterion.bench_function("open table", |bencher| {
        bencher.iter(|| CustomerTable::open(black_box(customers.clone())));
    });
}

criterion_group!(benches, bench_lookups);
criterion_main!(benches);
