//! Operators that apply conflicting changes on the same base version at the same time and resend
//! them, through the command-line program.

#[path = "support/real_group.rs"]
mod real_group;

use std::process::Output;

use daisyhinge::vocabulary::control::ControlRole;
use real_group::RealGroup;
use serde_json::Value;

const OPERATORS: [&str; 4] = ["ada", "bea", "cem", "dov"];

/// Applies the operator's document on the common base version with the operator's change id.
fn apply(group: &RealGroup, operator: &str) -> Output {
    group.run(&format!(
        "daisyhinge --json env apply production {operator}.json --base 0 \
         --change-id change-{operator} --operator {operator}"
    ))
}

fn read_json(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).unwrap()
}

fn stop_leader(group: &RealGroup) {
    group.runtime.block_on(async {
        for voter in &group.voters {
            let status = voter.shell.status().await.unwrap();
            if status.role == ControlRole::Leader {
                voter.shell.stop().await;
                return;
            }
        }
        panic!("no leader");
    });
}

#[test]
fn one_operator_wins_and_resends_return_the_first_reply() {
    let group = RealGroup::open();
    let document = include_str!("../examples/production.json");
    for (index, operator) in OPERATORS.iter().enumerate() {
        let variant = document.replace("2000", &(2_000 + index).to_string());
        std::fs::write(
            group.folder.path().join(format!("{operator}.json")),
            variant,
        )
        .unwrap();
    }
    let first: Vec<_> = std::thread::scope(|scope| {
        let runs: Vec<_> = OPERATORS
            .iter()
            .map(|operator| scope.spawn(|| apply(&group, operator)))
            .collect();
        runs.into_iter().map(|run| run.join().unwrap()).collect()
    });
    let codes: Vec<_> = first
        .iter()
        .map(|output| output.status.code().unwrap())
        .collect();
    assert_eq!(
        codes.iter().filter(|code| **code == 0).count(),
        1,
        "{first:?}"
    );
    assert_eq!(
        codes.iter().filter(|code| **code == 4).count(),
        3,
        "{first:?}"
    );
    let winner = codes.iter().position(|code| *code == 0).unwrap();
    let winner_id = format!("change-{}", OPERATORS[winner]);
    let losing_outputs = first
        .iter()
        .filter(|output| output.status.code() == Some(4));
    for output in losing_outputs {
        assert_eq!(read_json(output)["refused"]["winner"], winner_id.as_str());
    }

    // Resends return the same replies from the same leader and from its successor.
    for stop in [false, true] {
        if stop {
            stop_leader(&group);
        }
        for (operator, first_output) in OPERATORS.iter().zip(&first) {
            let resent = apply(&group, operator);
            assert_eq!(
                resent.status.code(),
                first_output.status.code(),
                "{resent:?}"
            );
            assert_eq!(read_json(&resent), read_json(first_output));
        }
    }
    let history = group.run("daisyhinge --json env history production");
    assert_eq!(read_json(&history).as_array().unwrap().len(), 1);
    let reused = group.run(&format!(
        "daisyhinge env apply production ada.json --base 1 --change-id {winner_id} --operator ada"
    ));
    assert_eq!(reused.status.code(), Some(4), "{reused:?}");
    group.close();
}
