//! Result codes keep their numbers.

use daisyhinge::prelude::*;

#[test]
fn numbers_round_trip_and_grow() {
    for code in ResultCode::ALL {
        assert_eq!(ResultCode::from_number(code.number()), Some(*code));
    }
    assert!(
        ResultCode::ALL
            .windows(2)
            .all(|pair| pair[0].number() < pair[1].number())
    );
}
