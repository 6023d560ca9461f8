//! A replica that cuts its answer after a number of bytes, which the path of the request states.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Body of every answer: two records.
pub const BODY: &str = "bbbbbbbbbbbbbbbbaaaaaaaaaaaaaaaa";

/// How an answer is framed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerForm {
    /// With a content length.
    Sized,
    /// Without a length; it ends with its connection.
    Unsized,
    /// In chunks.
    Chunked,
    /// In chunks, with trailers.
    Trailers,
    /// With a content length, after two interim answers.
    Interim,
    /// A failure of the replica, with a content length.
    Failure,
    /// A refusal of the replica, with a content length.
    NotRun,
}

pub const FORMS: [AnswerForm; 7] = [
    AnswerForm::Sized,
    AnswerForm::Unsized,
    AnswerForm::Chunked,
    AnswerForm::Trailers,
    AnswerForm::Interim,
    AnswerForm::Failure,
    AnswerForm::NotRun,
];

/// How the connection ends after the last byte.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionEnd {
    Closed,
    Reset,
}

/// Returns the complete answer to the request `id`.
pub fn whole_answer(form: AnswerForm, id: &str) -> String {
    let head = |status: &str, length: &str| {
        format!("HTTP/1.1 {status}\r\nx-seal: s\r\nx-id: {id}\r\n{length}\r\n")
    };
    let sized = |status: &str| head(status, "content-length: 32\r\n") + BODY;
    let chunks = format!(
        "10\r\n{}\r\n10;a=b\r\n{}\r\n0\r\n",
        &BODY[..16],
        &BODY[16..]
    );
    match form {
        AnswerForm::Sized => sized("200 OK"),
        AnswerForm::Unsized => head("200 OK", "") + BODY,
        AnswerForm::Chunked => head("200 OK", "transfer-encoding: chunked\r\n") + &chunks + "\r\n",
        AnswerForm::Trailers => {
            let head = head("200 OK", "transfer-encoding: chunked\r\n");
            head + &chunks + "x-sum: 1\r\n\r\n"
        }
        AnswerForm::Interim => {
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n".to_owned()
                + &sized("200 OK")
        }
        AnswerForm::Failure => sized("500 Internal Server Error"),
        AnswerForm::NotRun => {
            let head = head(
                "503 Service Unavailable",
                "x-not-run: 1\r\ncontent-length: 32\r\n",
            );
            head + BODY
        }
    }
}

/// Returns the length of the head of the answer, interim answers included.
pub fn head_length(form: AnswerForm, id: &str) -> usize {
    let answer = whole_answer(form, id);
    let status = answer.rfind("HTTP/1.1").expect("a status line");
    let blank = answer[status..].find("\r\n\r\n").expect("a blank line");
    status + blank + 4
}

/// One answer and where it is cut.
#[derive(Clone, Copy, Debug)]
pub struct Cut {
    pub form: AnswerForm,
    /// Number of bytes that are sent.
    pub bytes: usize,
    pub end: ConnectionEnd,
}

impl Cut {
    /// Returns the last segments of the path by which the replica recognises the cut.
    pub fn path(&self) -> String {
        let form = FORMS.iter().position(|form| *form == self.form);
        let form = form.expect("a listed form");
        format!("{form}/{}/{:?}", self.bytes, self.end)
    }

    fn parse(path: &str) -> Option<Self> {
        let mut words = path.rsplit('/');
        let end = match words.next()? {
            "Closed" => ConnectionEnd::Closed,
            "Reset" => ConnectionEnd::Reset,
            _ => return None,
        };
        let bytes = words.next()?.parse().ok()?;
        let form = words.next()?.parse::<usize>().ok()?;
        Some(Self {
            form: FORMS[form],
            bytes,
            end,
        })
    }
}

/// Lists every cut of the answer to `id`, the complete answer excluded.
pub fn list_cuts(form: AnswerForm, end: ConnectionEnd, id: &str) -> Vec<Cut> {
    let bytes = 0..whole_answer(form, id).len();
    bytes.map(|bytes| Cut { form, bytes, end }).collect()
}

/// Requests that the replica received, by path: how often, and whether on a connection that had
/// carried another one.
pub type Arrivals = Arc<Mutex<HashMap<String, Vec<bool>>>>;

/// A replica that answers `/whole` completely and cuts its other answers.
#[derive(Clone, Debug)]
pub struct CuttingReplica {
    pub address: SocketAddr,
    pub arrivals: Arrivals,
}

impl CuttingReplica {
    /// Starts a replica that cuts its answers.
    pub async fn spawn(ip: IpAddr) -> Self {
        Self::spawn_with(ip, true).await
    }

    /// Starts a replica that answers all requests completely. Returns its address.
    pub async fn spawn_whole(ip: IpAddr) -> SocketAddr {
        Self::spawn_with(ip, false).await.address
    }

    async fn spawn_with(ip: IpAddr, cuts: bool) -> Self {
        let listener = TcpListener::bind(SocketAddr::new(ip, 0)).await;
        let listener = listener.expect("bind a port");
        let replica = Self {
            address: listener.local_addr().expect("an address"),
            arrivals: Arrivals::default(),
        };
        let arrivals = Arc::clone(&replica.arrivals);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, cuts, Arc::clone(&arrivals)));
            }
        });
        replica
    }

    /// Returns the arrivals of a request, each with whether it came on a reused connection.
    pub fn arrivals_of(&self, path: &str) -> Vec<bool> {
        let arrivals = self.arrivals.lock().expect("no panic");
        arrivals.get(path).cloned().unwrap_or_default()
    }
}

async fn serve(mut stream: TcpStream, cuts: bool, arrivals: Arrivals) {
    let mut read = Vec::new();
    let mut buffer = [0; 4_096];
    let mut is_reused = false;
    while let Ok(count) = stream.read(&mut buffer).await {
        if count == 0 {
            return;
        }
        read.extend_from_slice(&buffer[..count]);
        let text = String::from_utf8_lossy(&read).into_owned();
        if !text.ends_with("\r\n\r\n") {
            continue;
        }
        read.clear();
        let path = text.split(' ').nth(1).expect("a path").to_owned();
        let id = text.lines().find_map(|line| line.strip_prefix("x-id: "));
        let id = id.expect("an identifier");
        record(&arrivals, &path, is_reused);
        is_reused = true;
        let Some(cut) = Cut::parse(&path).filter(|_| cuts) else {
            let answer = whole_answer(AnswerForm::Sized, id);
            drop(stream.write_all(answer.as_bytes()).await);
            continue;
        };
        let answer = whole_answer(cut.form, id);
        drop(stream.write_all(&answer.as_bytes()[..cut.bytes]).await);
        if cut.end == ConnectionEnd::Reset {
            stream.set_zero_linger().expect("set an option");
        }
        return;
    }
}

fn record(arrivals: &Arrivals, path: &str, is_reused: bool) {
    let mut arrivals = arrivals.lock().expect("no panic");
    arrivals.entry(path.to_owned()).or_default().push(is_reused);
}
