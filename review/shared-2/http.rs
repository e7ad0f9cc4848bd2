//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and a client.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, name: &str) -> &str {
        self.query.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
    }

    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let digits = text.get(at + 1..at + 3).and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[at], digits) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let header = |name: &str| headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    if header("transfer-encoding").is_some_and(|(_, value)| value.eq_ignore_ascii_case("chunked")) {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                return Some(body);
            }
            body.extend(&chunk[..size]);
        }
    }
    let length = header("content-length").and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// Answers a request with a status and a JSON body; `None` closes the connection without an answer.
pub type Handler = Arc<dyn Fn(&Request) -> Option<(u16, String)> + Send + Sync>;

/// Serves a listener until the process ends.
pub fn serve(listener: TcpListener, handler: Handler) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
}

/// Serves a listener until the process ends. While `refuse` is set, connections are refused and those that are
/// open end without an answer.
pub fn serve_unless(refuse: Arc<AtomicBool>, listener: TcpListener, handler: Handler) {
    let address = listener.local_addr().expect("an address");
    let gated: Handler = {
        let refuse = refuse.clone();
        Arc::new(move |request| match refuse.load(Ordering::SeqCst) {
            true => None,
            false => handler(request).filter(|_| !refuse.load(Ordering::SeqCst)),
        })
    };
    thread::spawn(move || {
        let mut listener = Some(listener);
        loop {
            match (&listener, refuse.load(Ordering::SeqCst)) {
                (_, true) => listener = None,
                (None, false) => listener = TcpListener::bind(address).ok(),
                (Some(open), false) => {
                    let _ = open.set_nonblocking(true);
                    while let Ok((stream, _)) = open.accept() {
                        let _ = stream.set_nonblocking(false);
                        let handler = gated.clone();
                        thread::spawn(move || serve_connection(stream, &handler));
                    }
                }
            }
            thread::sleep(Duration::from_millis(1));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(clone) = stream.try_clone() else { return };
    let (mut reader, mut stream) = (BufReader::new(clone), stream);
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handler(&request) else { return };
        let answer = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(key, value)| (unescape(key), unescape(value))).collect();
    let (path, body) = (path.to_owned(), read_body(reader, &headers)?);
    Some(Request { method, path, query, headers, body })
}

/// A client's answer: the status and the body, or `None` if there was no complete answer.
pub type Answer = Option<(u16, String)>;

/// Sends a request on a new connection.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Answer {
    let stream = TcpStream::connect_timeout(&address, limit).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        head += "Content-Type: application/json\r\n";
    }
    head += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    (&stream).write_all(head.as_bytes()).ok()?;
    let mut reader = BufReader::new(&stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
