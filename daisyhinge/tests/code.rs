//! Result codes and their numbers convert into one another, and the numbers increase.

use daisyhinge::prelude::*;

#[test]
fn numbers_round_trip_and_increase() {
    for code in ResultCode::ALL {
        assert_eq!(ResultCode::from_number(code.number()), Some(*code));
    }
    assert!(
        ResultCode::ALL
            .windows(2)
            .all(|pair| pair[0].number() < pair[1].number())
    );
}
