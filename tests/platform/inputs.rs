//! Malformed and unusual requests: each gets the right answer, and the next request is served.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::cluster::Cluster;

/// Longest wait for an answer or the end of a connection. The entry's own timeouts are three seconds.
const ANSWER_TIME: Duration = Duration::from_secs(8);
/// Largest answer to a refused request, in bytes. It is a few lines of text.
const MAX_ANSWER_BYTES: usize = 4_096;
/// Largest body that the configuration allows, in bytes.
const MAX_BODY_BYTES: usize = 60_000;
/// Job in a request sent after a malformed one on the same connection. It must never be accepted.
const SMUGGLED_JOB: &str = "00000000000000ff";

/// What happens to the connection after the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RowEnding {
    /// It stays open, and the next request on it is served.
    Open,
    /// The entry closes it, and what follows on it is not read as a request.
    Closed,
    /// The entry closes it although nothing follows.
    ClosedByEntry,
    /// The caller closes it before it has sent the whole request.
    CallerLeaves,
}

/// A malformed or unusual request.
struct InputRow {
    name: &'static str,
    sent: Vec<u8>,
    /// Status of the answer, or `None` if there is no answer or the caller has left.
    status: Option<u16>,
    ending: RowEnding,
    /// Interval between two bytes.
    byte_interval: Duration,
}

/// What was received on a connection.
#[derive(Debug, Default)]
struct RowReply {
    statuses: Vec<u16>,
    bytes: usize,
    closed: bool,
}

fn row(name: &'static str, sent: impl Into<Vec<u8>>, status: u16, ending: RowEnding) -> InputRow {
    InputRow {
        name,
        sent: sent.into(),
        status: Some(status),
        ending,
        byte_interval: Duration::ZERO,
    }
}

/// A request that submits a job under an id.
fn post_with_headers(id: &str, headers: &str, body: &str) -> String {
    format!("POST /now/{id} HTTP/1.1\r\nHost: jobs.example\r\n{headers}\r\n{body}")
}

fn post(id: &str, body: &str) -> String {
    post_with_headers(id, &format!("Content-Length: {}\r\n", body.len()), body)
}

fn bodiless_request(method: &str, target: &str) -> String {
    format!("{method} {target} HTTP/1.1\r\nHost: jobs.example\r\n\r\n")
}

/// A valid job that takes a few milliseconds.
fn good_job() -> String {
    job(&json!([{"count": 1, "millicpu": 100, "mem_mb": 10, "estimated_ms": 5}]))
}

fn job(steps: &Value) -> String {
    json!({"spec": "5", "steps": steps}).to_string()
}

fn repeated_job(count: u64, first: u64, interval: u64) -> String {
    let steps = [json!({"count": 1, "millicpu": 1_000, "mem_mb": 10})];
    let job = json!({
        "spec": "5", "steps": steps, "repeat_count": count, "first_ms": first,
        "interval_ms": interval,
    });
    job.to_string()
}

/// A job with a chain of steps.
fn chain_job(steps: usize, estimate: &str) -> String {
    let mut text = format!("{{\"steps\":[{{\"count\":1,\"estimated_ms\":{estimate}}}");
    for before in 0..steps - 1 {
        write!(text, ",{{\"count\":1,\"estimated_ms\":{estimate},\"after\":[{before}]}}").unwrap();
    }
    text + "]}"
}

/// The next request on a connection that stays open. Its chunked body is accepted only if the entry has
/// read the previous request to its end and no further.
fn follow_up_request() -> String {
    let good = good_job();
    let chunks = format!("{:x}\r\n{good}\r\n0\r\n\r\n", good.len());
    post_with_headers("00000000000000fe", "Transfer-Encoding: chunked\r\n", &chunks)
}

/// Requests that violate HTTP or never end.
fn framing_rows() -> Vec<InputRow> {
    use RowEnding::{Closed, ClosedByEntry};
    let good = good_job();
    let chunked = format!("{:x}\r\n{good}\r\n0\r\n\r\n", good.len());
    let coding = "Transfer-Encoding: chunked\r\n";
    let length = format!("Content-Length: {}\r\n", good.len());
    let large = "x".repeat(MAX_BODY_BYTES + 1);
    let long = "a".repeat(40_000);
    let headers =
        |count: usize| (0..count).fold(String::new(), |all, n| all + &format!("A{n}: b\r\n"));
    let mut rows = vec![
        row(
            "a body announced over the limit",
            post_with_headers("0000000000000101", "Content-Length: 60001\r\n", ""),
            413,
            Closed,
        ),
        row(
            "a length that overflows an integer",
            post_with_headers("0000000000000102", "Content-Length: 99999999999999999999\r\n", ""),
            400,
            Closed,
        ),
        row(
            "chunks over the limit",
            post_with_headers("0000000000000103", coding, &format!("ea61\r\n{large}\r\n0\r\n\r\n")),
            413,
            Closed,
        ),
        row(
            "a length, then chunks",
            post_with_headers("0000000000000104", &format!("{length}{coding}"), &chunked),
            400,
            Closed,
        ),
        row(
            "chunks, then a length",
            post_with_headers("0000000000000105", &format!("{coding}{length}"), &chunked),
            400,
            Closed,
        ),
        row(
            "a length that ends before the chunks",
            post_with_headers(
                "0000000000000106",
                &format!("Content-Length: 5\r\n{coding}"),
                "0\r\n\r\n",
            ),
            400,
            Closed,
        ),
        row(
            "two lengths",
            post_with_headers("0000000000000107", &format!("Content-Length: 5\r\n{length}"), &good),
            400,
            Closed,
        ),
        row(
            "a signed length",
            post_with_headers("0000000000000108", "Content-Length: +5\r\n", "{}   "),
            400,
            Closed,
        ),
        row(
            "a list of lengths",
            post_with_headers("0000000000000109", "Content-Length: 5, 5\r\n", "{}   "),
            400,
            Closed,
        ),
        row(
            "a bad chunk",
            post_with_headers("000000000000010a", coding, "zz\r\n{}\r\n0\r\n\r\n"),
            400,
            Closed,
        ),
        row(
            "a chunk without its end",
            post_with_headers("000000000000010b", coding, "2\r\n{}{}\r\n0\r\n\r\n"),
            400,
            Closed,
        ),
        row(
            "a chunk size that overflows an integer",
            post_with_headers("000000000000010c", coding, "fffffffffffffffff\r\n{}"),
            400,
            Closed,
        ),
        row(
            "an unknown coding",
            post_with_headers("000000000000010d", "Transfer-Encoding: gzip\r\n", &good),
            400,
            Closed,
        ),
        row(
            "chunks inside another coding",
            post_with_headers("000000000000010e", "Transfer-Encoding: chunked, gzip\r\n", &chunked),
            400,
            Closed,
        ),
        row(
            "chunks in HTTP/1.0",
            format!(
                "POST /now/000000000000010f HTTP/1.0\r\nHost: jobs.example\r\n{coding}\r\n{chunked}"
            ),
            400,
            Closed,
        ),
        row("no host", "GET /now/ HTTP/1.1\r\n\r\n", 400, Closed),
        row(
            "two hosts",
            "GET /now/ HTTP/1.1\r\nHost: jobs.example\r\nHost: jobs.example\r\n\r\n",
            400,
            Closed,
        ),
        row("an invalid host", "GET /now/ HTTP/1.1\r\nHost: jobs example\r\n\r\n", 400, Closed),
        row(
            "a target of another host",
            bodiless_request("GET", "http://other.example/now/"),
            400,
            Closed,
        ),
        row(
            "a space before a header's colon",
            "GET /now/ HTTP/1.1\r\nHost : jobs.example\r\n\r\n",
            400,
            Closed,
        ),
        row(
            "a folded header",
            "GET /now/ HTTP/1.1\r\nHost: jobs.example\r\nA: b\r\n c\r\n\r\n",
            400,
            Closed,
        ),
        row(
            "a zero byte in a header",
            "GET /now/ HTTP/1.1\r\nHost: jobs.example\r\nA: b\0c\r\n\r\n",
            400,
            Closed,
        ),
        row("bytes that are not HTTP", "\x16\x03\x01\x02\0\x01\0\x01\r\n\r\n", 400, Closed),
        row("another version", "GET /now/ HTTP/3.0\r\nHost: jobs.example\r\n\r\n", 400, Closed),
        row(
            "a huge header",
            post_with_headers("0000000000000110", &format!("A: {long}\r\n"), ""),
            431,
            Closed,
        ),
        row("a huge target", bodiless_request("GET", &format!("/now/{long}")), 431, Closed),
        row("many headers", post_with_headers("0000000000000111", &headers(200), ""), 431, Closed),
        row(
            "a body that stops",
            post_with_headers("0000000000000112", "Content-Length: 500\r\n", "{\"spec\":"),
            408,
            ClosedByEntry,
        ),
    ];
    let unanswered = |name, sent: &str, byte_interval| InputRow {
        name,
        sent: sent.into(),
        status: None,
        ending: ClosedByEntry,
        byte_interval: Duration::from_millis(byte_interval),
    };
    rows.push(unanswered("a connection without any byte", "", 0));
    rows.push(unanswered("a head that stops", "GET /now/ HTTP/1.1\r\nHost: jobs", 0));
    rows.push(unanswered("a slow head", &bodiless_request("GET", "/now/"), 200));
    rows.push(InputRow {
        ending: Closed,
        ..unanswered("the preface of HTTP/2", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 0)
    });
    rows.push(InputRow {
        ending: RowEnding::CallerLeaves,
        ..unanswered(
            "a caller that closes the connection",
            &post_with_headers("0000000000000113", "Content-Length: 500\r\n", &good),
            0,
        )
    });
    rows
}

/// Requests whose request line or headers are invalid or unusual for a queue.
fn request_rows() -> Vec<InputRow> {
    use RowEnding::Open;
    let good = good_job();
    let length = format!("Content-Length: {}\r\n", good.len());
    let with_timeout = |name, id, time: &str, status| {
        let headers = format!("{length}Deadline-Ms: {time}\r\n");
        row(name, post_with_headers(id, &headers, &good), status, Open)
    };
    vec![
        with_timeout("a timeout that is not a number", "0000000000000201", "NaN", 400),
        with_timeout("an infinite timeout", "0000000000000202", "inf", 400),
        with_timeout("a negative timeout", "0000000000000203", "-5", 400),
        with_timeout("a timeout in words", "0000000000000204", "soon", 400),
        with_timeout("a timeout beyond the largest integer", "0000000000000205", "1e300", 200),
        row("a short id", post("0205", &good), 400, Open),
        row("a long id", post("00000000000000206", &good), 400, Open),
        row("an id that is not hexadecimal", post("000000000000020g", &good), 400, Open),
        row("an id with a step number appended", post("0000000000207.0", &good), 400, Open),
        row("an encoded id", post("%300000000000000207", &good), 400, Open),
        row(
            "an id with a query field appended",
            bodiless_request("GET", "/now/0000000000000101&allow_stale=1"),
            410,
            Open,
        ),
        row("the state of an invalid id", bodiless_request("GET", "/now/a/b/%2e%2e"), 410, Open),
        row("cancelling an invalid id", bodiless_request("DELETE", "/now/x"), 410, Open),
        row("a target that is not UTF-8", bodiless_request("GET", "/now/%ff%fe"), 410, Open),
        row("an encoded queue name", bodiless_request("GET", "/%6eow/"), 404, Open),
        row("another method", bodiless_request("PUT", "/now/0000000000000208"), 405, Open),
        row("an unknown method", bodiless_request("BREW", "/now/0000000000000208"), 405, Open),
        row("a POST without an id", post("", &good), 405, Open),
        row("an id in upper case", post("00000000000002AB", &good), 200, Open),
        row(
            "the state of an id in upper case",
            bodiless_request("GET", "/now/00000000000002AB"),
            200,
            Open,
        ),
        row(
            "the state of the same id in lower case",
            bodiless_request("GET", "/now/00000000000002ab"),
            410,
            Open,
        ),
        row(
            "a target with its host",
            format!(
                "POST http://jobs.example/now/0000000000000209 HTTP/1.1\r\nHost: jobs.example\r\n{length}\r\n{good}"
            ),
            200,
            Open,
        ),
        row(
            "an announced body",
            post_with_headers(
                "000000000000020a",
                &format!("Expect: 100-continue\r\n{length}"),
                &good,
            ),
            200,
            Open,
        ),
        row(
            "a body in chunks",
            post_with_headers(
                "000000000000020b",
                "Transfer-Encoding: chunked\r\n",
                &format!("{:x}\r\n{good}\r\n0\r\n\r\n", good.len()),
            ),
            200,
            Open,
        ),
        row(
            "the same length twice",
            post_with_headers("000000000000020c", &format!("{length}{length}"), &good),
            200,
            Open,
        ),
    ]
}

/// Invalid jobs.
fn refused_rows() -> Vec<InputRow> {
    let deep = "[".repeat(5_000);
    let step = |fields: &str| format!("{{\"steps\":[{{\"count\":1{fields}}}]}}");
    let jobs = vec![
        ("no body", "0000000000000301", String::new()),
        ("a body that is not JSON", "0000000000000302", "steps=1".into()),
        ("JSON with trailing bytes", "0000000000000303", good_job() + "}"),
        ("JSON that is not an object", "0000000000000304", "null".into()),
        ("a deep array", "0000000000000305", format!("{{\"steps\":{deep}")),
        ("a deep flag", "0000000000000306", step(&format!(",\"gang\":{deep}"))),
        ("a field twice", "0000000000000307", "{\"steps\":[],\"steps\":[]}".into()),
        ("a number that is NaN", "0000000000000308", step(",\"estimated_ms\":NaN")),
        ("a number in a string", "0000000000000309", step(",\"millicpu\":\"100\"")),
        (
            "a long text in place of a number",
            "000000000000031e",
            step(&format!(",\"millicpu\":\"{}\"", "x".repeat(50_000))),
        ),
        ("a count with an exponent", "000000000000030a", "{\"steps\":[{\"count\":1e3}]}".into()),
        ("a negative count", "000000000000030b", "{\"steps\":[{\"count\":-1}]}".into()),
        ("no tasks", "000000000000030c", "{\"steps\":[{\"count\":0}]}".into()),
        ("four billion tasks", "000000000000030d", "{\"steps\":[{\"count\":4294967295}]}".into()),
        (
            "a task count that overflows",
            "000000000000030e",
            "{\"steps\":[{\"count\":4294967296}]}".into(),
        ),
        ("no steps", "000000000000030f", "{\"spec\":\"5\"}".into()),
        ("thousands of steps", "0000000000000310", job(&json!(vec![json!({}); 15_000]))),
        ("a step after itself", "0000000000000311", step(",\"after\":[0]")),
        (
            "a step after a later one",
            "0000000000000312",
            job(&json!([{"count": 1, "after": [1]}, {"count": 1}])),
        ),
        ("a step after a missing one", "0000000000000313", step(",\"after\":[4294967295]")),
        (
            "a long payload",
            "0000000000000315",
            json!({"spec": "x".repeat(4_001), "steps": [{"count": 1}]}).to_string(),
        ),
        ("a negative duration", "0000000000000316", step(",\"estimated_ms\":-1")),
        ("an endless duration", "0000000000000317", step(",\"estimated_ms\":1e300")),
        ("a chain of endless durations", "0000000000000318", chain_job(256, "1e99")),
        ("billions of occurrences", "0000000000000319", repeated_job(4_294_967_295, 0, 0)),
        ("millions of occurrences", "000000000000031a", repeated_job(2_000_000, 1, 1)),
        ("an endless interval", "000000000000031b", repeated_job(3, 1, u64::MAX)),
        ("a first time out of range", "000000000000031c", repeated_job(1, u64::MAX, 1)),
        (
            "many steps of many tasks",
            "000000000000031d",
            job(&json!(vec![json!({"count": 10_000}); 256])),
        ),
    ];
    let refused = |(name, id, body): (&'static str, &str, String)| {
        row(name, post(id, &body), 400, RowEnding::Open)
    };
    jobs.into_iter().map(refused).collect()
}

/// Unusual but valid jobs. The test cancels those that would not end soon.
fn accepted_rows() -> Vec<InputRow> {
    let wide = json!({"count": 10_000, "millicpu": 1_000, "mem_mb": 10, "estimated_ms": 1e9});
    let large = json!([{"count": 3, "millicpu": 4_294_967_295u32, "mem_mb": 4_294_967_295u32}]);
    let gang = json!([{"count": 2, "millicpu": 100, "gang": true, "persistent": true}]);
    let lasting = json!([{"count": 1, "persistent": true}, {"count": 1, "after": [0]}]);
    let jobs = vec![
        ("a step after a lasting one", "0000000000000408", job(&lasting)),
        ("a lasting gang", "0000000000000401", job(&gang)),
        ("tasks larger than any worker", "0000000000000402", job(&large)),
        ("thousands of tasks", "0000000000000403", job(&json!(vec![wide; 8]))),
        (
            "thousands of tasks without resource needs",
            "0000000000000407",
            job(&json!([{"count": 10_000}])),
        ),
        ("thousands of occurrences at once", "0000000000000404", repeated_job(15_000, 1, 0)),
        (
            "an unknown field with deep content",
            "0000000000000405",
            format!(
                "{{\"x\":{}{},\"steps\":[{{\"count\":1}}]}}",
                "[".repeat(5_000),
                "]".repeat(5_000)
            ),
        ),
        (
            "a dependency listed many times",
            "0000000000000406",
            job(&json!([{"count": 1}, {"count": 1, "after": vec![0; 20_000]}])),
        ),
    ];
    let accepted = |(name, id, body): (&'static str, &str, String)| {
        row(name, post(id, &body), 200, RowEnding::Open)
    };
    jobs.into_iter().map(accepted).collect()
}

/// Reads one complete answer into the reply, or records the end of the connection.
async fn read_answer(stream: &mut TcpStream, unread: &mut Vec<u8>, reply: &mut RowReply) {
    loop {
        if let Some((status, end)) = parse_answer(unread) {
            unread.drain(..end);
            if status >= 200 {
                reply.statuses.push(status);
                return;
            }
            continue;
        }
        let mut buffer = [0; 4_096];
        match timeout(ANSWER_TIME, stream.read(&mut buffer)).await {
            Ok(Ok(0) | Err(_)) => {
                reply.closed = true;
                return;
            }
            Ok(Ok(count)) => {
                reply.bytes += count;
                unread.extend(&buffer[..count]);
            }
            Err(_) => return,
        }
    }
}

/// Returns status and length of the answer at the start of some bytes, once it is complete.
fn parse_answer(bytes: &[u8]) -> Option<(u16, usize)> {
    let head = bytes.windows(4).position(|end| end == b"\r\n\r\n")? + 4;
    let text = String::from_utf8_lossy(&bytes[..head]).to_lowercase();
    let status = text.split(' ').nth(1)?.parse().ok()?;
    let length = text.lines().find_map(|line| line.strip_prefix("content-length:"));
    let length: usize = length.and_then(|length| length.trim().parse().ok()).unwrap_or(0);
    (bytes.len() >= head + length).then_some((status, head + length))
}

async fn send_row(stream: &mut TcpStream, row: &InputRow) {
    if row.byte_interval.is_zero() {
        let _ = stream.write_all(&row.sent).await;
        return;
    }
    for byte in &row.sent {
        if stream.write_all(&[*byte]).await.is_err() {
            return;
        }
        sleep(row.byte_interval).await;
    }
}

/// Sends one row on its own connection and returns what was received.
async fn exchange(address: SocketAddr, row: &InputRow) -> RowReply {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let (mut reply, mut unread) = (RowReply::default(), Vec::new());
    send_row(&mut stream, row).await;
    match row.ending {
        RowEnding::Open => {
            read_answer(&mut stream, &mut unread, &mut reply).await;
            let _ = stream.write_all(follow_up_request().as_bytes()).await;
            read_answer(&mut stream, &mut unread, &mut reply).await;
        }
        RowEnding::Closed | RowEnding::ClosedByEntry => {
            if row.ending == RowEnding::Closed {
                let _ = stream.write_all(post(SMUGGLED_JOB, &good_job()).as_bytes()).await;
            }
            while !reply.closed {
                let before = reply.bytes;
                read_answer(&mut stream, &mut unread, &mut reply).await;
                if reply.bytes == before {
                    break;
                }
            }
        }
        RowEnding::CallerLeaves => {
            let _ = stream.shutdown().await;
            read_answer(&mut stream, &mut unread, &mut reply).await;
            reply.statuses.clear();
        }
    }
    reply
}

/// Returns how a reply differs from what the row expects.
fn row_faults(row: &InputRow, reply: &RowReply) -> Vec<String> {
    let mut expected: Vec<u16> = row.status.into_iter().collect();
    if row.ending == RowEnding::Open {
        expected.push(200);
    }
    let mut row_faults = Vec::new();
    if row.ending != RowEnding::CallerLeaves && reply.statuses != expected {
        row_faults.push(format!("answers {:?} instead of {expected:?}", reply.statuses));
    }
    if row.status.is_none() && row.ending == RowEnding::Closed && reply.bytes > 0 {
        row_faults.push(format!("{} bytes where no answer is expected", reply.bytes));
    }
    if matches!(row.ending, RowEnding::Closed | RowEnding::ClosedByEntry) && !reply.closed {
        row_faults.push("the connection stays open".to_owned());
    }
    if reply.bytes > MAX_ANSWER_BYTES {
        row_faults.push(format!("an answer of {} bytes", reply.bytes));
    }
    row_faults
}

/// Submits a valid job on its own connection. Returns what went wrong if it was not accepted and completed.
async fn check_next_job(cluster: &Cluster, number: usize) -> Option<String> {
    let path = format!("/now/{:016x}", 0xf000 + number);
    let body: Value = serde_json::from_str(&good_job()).unwrap();
    let answer = cluster.call(0, Method::POST, &path, &body).await;
    let status = answer.map(|answer| answer.status);
    if status != Some(StatusCode::OK) {
        return Some(format!("the next job got {status:?}"));
    }
    let is_completed = async || {
        let answer = cluster.call(0, Method::GET, &path, &Value::Null).await;
        answer.is_some_and(|answer| answer.body["state"] == "completed")
    };
    let done = timeout(ANSWER_TIME, async {
        while !is_completed().await {
            sleep(Duration::from_millis(5)).await;
        }
    });
    done.await.is_err().then(|| "the next job did not complete".to_owned())
}

/// Guards against malformed input from an open network: contradicting lengths, heads and bodies without end,
/// times out of range, jobs that no cluster can run. Some such requests were accepted, one made the leader
/// exit, and some kept it busy for seconds. Each is refused, what follows it on its connection is not read as
/// a request, and the next request is served.
#[gtest]
#[tokio::test]
async fn bad_input_is_refused_and_the_next_request_is_served() {
    let cluster = Cluster::start(30, 1, 1, &["now"]).await;
    cluster.platform.configure_bodies(2, &["now"], MAX_BODY_BYTES);
    sleep(Duration::from_millis(500)).await;
    let address = cluster.entries[0].callers;
    let mut found = Vec::new();
    let tables = [framing_rows(), request_rows(), refused_rows(), accepted_rows()];
    for (number, row) in tables.into_iter().flatten().enumerate() {
        let reply = exchange(address, &row).await;
        let mut row_faults = row_faults(&row, &reply);
        row_faults.extend(check_next_job(&cluster, number).await);
        found.extend(row_faults.into_iter().map(|fault| format!("{}: {fault}", row.name)));
    }
    for id in ["0401", "0402", "0403", "0404"] {
        let path = format!("/now/000000000000{id}");
        let answer = cluster.call(0, Method::DELETE, &path, &Value::Null).await.unwrap();
        expect_that!(answer.status, eq(StatusCode::OK), "cancelling {id}");
    }
    let starts = cluster.platform.state.starts.lock().unwrap().clone();
    let ran = |prefix: &str| starts.keys().filter(|task| task.starts_with(prefix)).count();
    for prefix in [SMUGGLED_JOB, "00000000000001", "00000000000003"] {
        expect_that!(ran(prefix), eq(0), "started tasks of {prefix}");
    }
    expect_that!(found, is_empty());
}
