//! Cost of the crash records that entries exchange.

use daisyhinge::dispatch::crash::CrashMonitor;
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::registration::CrashReport;
use daisyhinge::vocabulary::replica::CrashRecord;

use crate::{encoded_len, now, show, time_us, vm};

/// Odd number that spreads the digests over all values, as hashes do.
const DIGEST_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

pub fn show_crash_reports() {
    show("crash report bytes by records", &[1, 16, 256], |size| {
        encoded_len(&make_crash_report(0, size))
    });
    let entries = [16, 64, 256];
    show(
        "crash report merged, us by reporting entries",
        &entries,
        |size| {
            let mut monitor = CrashMonitor::default();
            for index in 0..size {
                monitor.merge(now(), &make_crash_report(index, 4));
            }
            let report = make_crash_report(0, 4);
            time_us(|| monitor.merge(now(), &report))
        },
    );
}

/// Report of an entry with as many records as `records`, on requests of its own.
fn make_crash_report(index: usize, records: usize) -> CrashReport {
    let to_record = |number: usize| CrashRecord {
        digest: RequestDigest(((index * 1_000 + number + 1) as u64).wrapping_mul(DIGEST_STEP)),
        crashes: 2,
        age_ms: 100,
    };
    CrashReport {
        vm: vm(index),
        incarnation: 1,
        revision: 1,
        records: (0..records).map(to_record).collect(),
    }
}
