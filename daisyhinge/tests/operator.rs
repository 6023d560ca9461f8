//! Tests of the operator port and its client with fake control VMs.

#[path = "support/fixed_config.rs"]
mod fixed_config;

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use daisyhinge::environment::{check_change, check_document};
use daisyhinge::prelude::*;
use daisyhinge::shell::http_port::CONNECTIONS_MAX;
use daisyhinge::shell::http_port::fetch::{PortReply, PortRequest, fetch};
use daisyhinge::shell::operator::client::ClientError;
use daisyhinge::shell::operator::{
    OperatorCalls, OperatorClient, OperatorPort, OperatorRefusal, OperatorToken,
};
use daisyhinge::vocabulary::change::{ChangeKind, ChangeRefusal, ChangeRequest, CommittedChange};
use daisyhinge::vocabulary::control::{ControlRole, ControlStatus};
use daisyhinge::vocabulary::environment::CentreState;
use daisyhinge::vocabulary::view::ControlView;
use fixed_config::fixed_config;
use parking_lot::Mutex;
use proptest::prelude::*;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

const TOKEN: &str = "0123456789abcdef-test";
const TIMEOUT: Duration = Duration::from_secs(20);

/// Fake control VM that records the changes it receives.
#[derive(Clone, Debug, Default)]
struct FakeControl {
    received: Arc<Mutex<Vec<ChangeRequest>>>,
}

impl FakeControl {
    /// Builds handlers that answer every change with `reply`, which is called with the number of
    /// changes received so far.
    fn calls(
        &self,
        reply: impl Fn(usize) -> Result<CommittedChange, ChangeRefusal> + Send + Sync + 'static,
    ) -> OperatorCalls {
        let received = Arc::clone(&self.received);
        OperatorCalls {
            change: Arc::new(move |request| {
                let mut received = received.lock();
                received.push(request);
                let reply = reply(received.len());
                Box::pin(std::future::ready(reply))
            }),
            view: Arc::new(|()| Box::pin(std::future::ready(Ok(Arc::new(ControlView::default()))))),
            environment: Arc::new(|_environment| {
                let unknown = refusal(ResultCode::UnknownEnvironment, None);
                Box::pin(std::future::ready(Err(unknown)))
            }),
            history: Arc::new(|_environment| Box::pin(std::future::ready(Ok(Vec::new())))),
            status: Arc::new(|()| {
                let status = ControlStatus {
                    vm: VmName::from("control-1"),
                    number: 1,
                    role: ControlRole::Leader,
                    term: 1,
                    leader: None,
                    leader_operator: None,
                    commit: 7,
                    snapshot: 0,
                    version: VersionNumber(3),
                    claims: 0,
                    confirmed_ms: Some(5),
                    voters: Vec::new(),
                    entries: Vec::new(),
                };
                Box::pin(std::future::ready(Ok(status)))
            }),
        }
    }
}

fn any_local_address() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn evacuate_centre() -> ChangeRequest {
    ChangeRequest {
        change: ChangeId::from("c-1"),
        base: None,
        operator: Arc::from("ada"),
        made_ms: 5,
        kind: ChangeKind::SetCentre {
            environment: EnvironmentName::from("production"),
            data_centre: CentreName::from("kano-1"),
            state: CentreState::Out,
        },
    }
}

fn refusal(code: ResultCode, leader: Option<SocketAddr>) -> ChangeRefusal {
    ChangeRefusal {
        code,
        current: VersionNumber(4),
        winner: Some(ChangeId::from("c-0")),
        leader,
    }
}

async fn bind_port(calls: OperatorCalls) -> OperatorPort {
    let token = OperatorToken::parse(TOKEN).unwrap();
    OperatorPort::bind(any_local_address(), token, calls)
        .await
        .unwrap()
}

fn open_client(addresses: &[SocketAddr], timeout: Duration) -> OperatorClient {
    let token = OperatorToken::parse(TOKEN).unwrap();
    OperatorClient::new(addresses.to_vec(), token, timeout)
}

async fn send(
    address: SocketAddr,
    token: Option<&str>,
    method: &str,
    target: &str,
    body: &str,
) -> PortReply {
    let request = PortRequest {
        method: method.parse().unwrap(),
        target: target.to_owned(),
        token: token.map(str::to_owned),
        body: body.to_owned().into(),
    };
    fetch(address, &request, TIMEOUT).await.unwrap()
}

fn read_code(reply: &PortReply) -> ResultCode {
    let refusal: OperatorRefusal = serde_json::from_slice(&reply.body).unwrap();
    assert_eq!(refusal.code.http_status(), reply.status);
    refusal.code
}

#[tokio::test]
async fn requests_without_the_token_are_refused() {
    let fake = FakeControl::default();
    let port = bind_port(fake.calls(|_| {
        Ok(CommittedChange {
            version: VersionNumber(1),
        })
    }))
    .await;
    let body = serde_json::to_string(&evacuate_centre()).unwrap();
    let longer = format!("{TOKEN}x");
    for token in [
        None,
        Some(""),
        Some("0123456789abcdef"),
        Some(longer.as_str()),
    ] {
        for target in ["/v1/change", "/v1/view", "/nothing"] {
            let reply = send(port.address(), token, "POST", target, &body).await;
            assert_eq!(
                read_code(&reply),
                ResultCode::BadToken,
                "{token:?} {target}"
            );
        }
    }
    assert!(fake.received.lock().is_empty());
    let reply = send(port.address(), Some(TOKEN), "POST", "/v1/change", &body).await;
    assert_eq!(reply.status, 200);
    assert_eq!(*fake.received.lock(), [evacuate_centre()]);
}

#[tokio::test]
async fn invalid_requests_are_refused_with_a_result_code() {
    let fake = FakeControl::default();
    let port = bind_port(fake.calls(|_| {
        Ok(CommittedChange {
            version: VersionNumber(1),
        })
    }))
    .await;
    let large = " ".repeat(daisyhinge::environment::CHANGE_MAX_BYTES + 1);
    let cases = [
        ("GET", "/v1/other", "", ResultCode::UnknownPath),
        ("GET", "/v1/change", "", ResultCode::BadMethod),
        ("POST", "/v1/change", "{", ResultCode::NotJson),
        ("POST", "/v1/change", "[]", ResultCode::WrongType),
        ("POST", "/v1/change", &large, ResultCode::BodyTooLarge),
        (
            "GET",
            "/v1/history?environment=a%20b",
            "",
            ResultCode::BadName,
        ),
        ("GET", "/v1/history", "", ResultCode::BadName),
    ];
    for (method, target, body, code) in cases {
        let reply = send(port.address(), Some(TOKEN), method, target, body).await;
        assert_eq!(read_code(&reply), code, "{method} {target}");
    }
    assert!(fake.received.lock().is_empty());
}

#[tokio::test]
async fn invalid_document_does_not_reach_control() {
    let fake = FakeControl::default();
    let port = bind_port(fake.calls(|_| {
        Ok(CommittedChange {
            version: VersionNumber(1),
        })
    }))
    .await;
    let body = r#"{"change": "c-1", "base": 0, "operator": "ada", "made_ms": 1, "kind": {"apply": {
        "environment": "trial", "document": {"regions": [], "services": [{"name": "a"}]}}}}"#;
    let reply = send(port.address(), Some(TOKEN), "POST", "/v1/change", body).await;
    let refusal: OperatorRefusal = serde_json::from_slice(&reply.body).unwrap();
    let paths: Vec<_> = refusal
        .faults
        .iter()
        .map(|error| error.path.as_str())
        .collect();
    assert_eq!(
        paths,
        [
            "$.kind.apply.document.regions",
            "$.kind.apply.document.services[0].repeatable"
        ]
    );
    assert!(fake.received.lock().is_empty());
}

#[tokio::test]
async fn client_follows_the_redirect_to_the_leader() {
    let leader = FakeControl::default();
    let leader_port = bind_port(leader.calls(|_| {
        Ok(CommittedChange {
            version: VersionNumber(9),
        })
    }))
    .await;
    let address = leader_port.address();
    let follower = FakeControl::default();
    let calls = follower.calls(move |_| Err(refusal(ResultCode::NotLeader, Some(address))));
    let follower_port = bind_port(calls).await;
    let client = open_client(&[follower_port.address()], TIMEOUT);
    let committed = client.change(&evacuate_centre()).await.unwrap();
    assert_eq!(committed.version, VersionNumber(9));
    assert_eq!(follower.received.lock().len(), 1);
}

#[tokio::test]
async fn client_reports_a_conflict_and_the_winning_change() {
    let fake = FakeControl::default();
    let port = bind_port(fake.calls(|_| Err(refusal(ResultCode::VersionConflict, None)))).await;
    let client = open_client(&[port.address()], TIMEOUT);
    let Err(ClientError::Refused(refused)) = client.change(&evacuate_centre()).await else {
        panic!("not refused");
    };
    assert_eq!(refused.code, ResultCode::VersionConflict);
    assert_eq!(refused.current, VersionNumber(4));
    assert_eq!(refused.winner, Some(ChangeId::from("c-0")));
    assert_eq!(fake.received.lock().len(), 1);
}

/// Closes every connection when the request arrives, like a VM that crashes at that moment.
async fn drop_connections(listener: TcpListener) {
    while let Ok((mut stream, _peer)) = listener.accept().await {
        let _ = stream.readable().await;
        let _ = stream.shutdown().await;
    }
}

#[tokio::test]
async fn client_resends_the_same_change_after_a_lost_reply() {
    let listener = TcpListener::bind(any_local_address()).await.unwrap();
    let lossy_address = listener.local_addr().unwrap();
    let task = tokio::spawn(drop_connections(listener));
    let fake = FakeControl::default();
    let calls = fake.calls(|count| match count {
        1 => Err(refusal(ResultCode::ChangeOutcomeUnknown, None)),
        2 => Err(refusal(ResultCode::NoQuorum, None)),
        _ => Ok(CommittedChange {
            version: VersionNumber(6),
        }),
    });
    let port = bind_port(calls).await;
    let client = open_client(&[lossy_address, port.address()], TIMEOUT);
    let committed = client.change(&evacuate_centre()).await.unwrap();
    assert_eq!(committed.version, VersionNumber(6));
    assert_eq!(*fake.received.lock(), vec![evacuate_centre(); 3]);
    let short_timeout_client = open_client(&[lossy_address], Duration::from_millis(300));
    assert_eq!(
        short_timeout_client.change(&evacuate_centre()).await,
        Err(ClientError::Unknown)
    );
    task.abort();
}

#[tokio::test]
async fn client_reports_unreachable_if_nothing_was_sent() {
    let listener = TcpListener::bind(any_local_address()).await.unwrap();
    let closed_address = listener.local_addr().unwrap();
    drop(listener);
    let client = open_client(&[closed_address], Duration::from_millis(300));
    assert_eq!(
        client.change(&evacuate_centre()).await,
        Err(ClientError::Unreachable)
    );
}

#[tokio::test]
async fn idle_connections_do_not_block_the_port() {
    let fake = FakeControl::default();
    let port = bind_port(fake.calls(|_| {
        Ok(CommittedChange {
            version: VersionNumber(1),
        })
    }))
    .await;
    let mut idle = Vec::new();
    for _ in 0..CONNECTIONS_MAX + 8 {
        idle.push(TcpStream::connect(port.address()).await.unwrap());
    }
    let client = open_client(&[port.address()], TIMEOUT);
    assert_eq!(
        client.leader_status().await.unwrap().version,
        VersionNumber(3)
    );
    assert_eq!(client.view().await.unwrap(), ControlView::default());
    drop(idle);
    port.close().await;
}

#[test]
fn token_is_validated_and_hidden_in_debug_output() {
    for text in [
        "",
        "too-short",
        "has a space in the middle",
        &"x".repeat(257),
    ] {
        assert_eq!(
            OperatorToken::parse(text).unwrap_err(),
            ResultCode::OutOfRange
        );
    }
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("token");
    assert_eq!(
        OperatorToken::read(&path).unwrap_err(),
        ResultCode::StorageFailed
    );
    std::fs::write(&path, format!("{TOKEN}\n")).unwrap();
    let token = OperatorToken::read(&path).unwrap();
    assert!(token.matches(TOKEN.as_bytes()));
    // The padding of the buffer must not count as part of a token.
    assert!(!token.matches(format!("{TOKEN}\0").as_bytes()));
    assert_eq!(format!("{token:?}"), "OperatorToken");
}

#[test]
fn all_errors_of_a_change_are_reported_together() {
    let text = r#"{"change": "a b", "base": -1, "operator": "", "kind": {
        "set-centre": {"environment": "", "data_centre": "k", "state": "away", "x": 1}}}"#;
    let errors = check_change(text.as_bytes()).unwrap_err();
    let paths: Vec<_> = errors.iter().map(|error| error.path.as_str()).collect();
    let expected = [
        "$.change",
        "$.operator",
        "$.base",
        "$.kind.set-centre.x",
        "$.kind.set-centre.environment",
        "$.kind.set-centre.state",
    ];
    assert_eq!(paths, expected);
}

fn kind_strategy() -> impl Strategy<Value = ChangeKind> {
    let name = || "[A-Za-z0-9._-]{1,64}";
    let document = check_document(
        br#"{"regions": [{"name": "a", "data_centres": [{"name": "b"}]}], "services": []}"#,
    );
    let document = Arc::new(document.unwrap());
    prop_oneof![
        name().prop_map(move |environment| ChangeKind::Apply {
            environment: environment.into(),
            document: Arc::clone(&document),
        }),
        (name(), any::<u64>(), name()).prop_map(|(from, trusted, to)| ChangeKind::Promote {
            from: from.into(),
            trusted: VersionNumber(trusted),
            to: to.into(),
        }),
        (name(), name()).prop_map(|(environment, centre)| ChangeKind::SetCentre {
            environment: environment.into(),
            data_centre: centre.into(),
            state: CentreState::In,
        }),
        (name(), any::<(IpAddr, u16)>()).prop_map(|(vm, address)| ChangeKind::AddVoter {
            vm: vm.into(),
            // The text form of an address has neither flow info nor scope id.
            address: SocketAddr::from(address),
        }),
        name().prop_map(|vm| ChangeKind::RemoveVoter { vm: vm.into() }),
    ]
}

proptest! {
    #![proptest_config(fixed_config())]

    #[test]
    fn valid_changes_round_trip(
        change in "[A-Za-z0-9._-]{1,64}",
        base in proptest::option::of(any::<u64>()),
        made_ms in any::<u64>(),
        kind in kind_strategy(),
    ) {
        let request = ChangeRequest {
            change: change.into(),
            base: base.map(VersionNumber),
            operator: Arc::from("ada"),
            made_ms,
            kind,
        };
        let text = serde_json::to_vec(&request).unwrap();
        prop_assert_eq!(check_change(&text), Ok(request.clone()));
        // A truncated change is refused.
        prop_assert!(check_change(&text[..text.len() - 1]).is_err());
    }

    #[test]
    fn any_bytes_are_checked_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..512)) {
        prop_assert!(check_change(&bytes).is_err());
    }
}
