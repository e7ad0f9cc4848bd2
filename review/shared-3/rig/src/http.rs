//! A minimal HTTP/1.1 server and client on blocking sockets.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::Value;

/// A request that a server has read.
pub struct Request {
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Value,
}

impl Request {
    pub fn param(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }

    pub fn number(&self, name: &str) -> u64 {
        self.param(name).parse().unwrap_or(0)
    }
}

/// What a server does with a request.
pub enum Reply {
    Json(u16, Value),
    /// Closes the connection without an answer.
    Close,
}

/// Handles one request.
pub type Handler = Arc<dyn Fn(Request) -> Reply + Send + Sync>;

/// A server that can be taken down, with all its connections, and brought up at the same address.
pub struct Server {
    pub address: SocketAddr,
    handler: Handler,
    up: Mutex<Option<Arc<Uptime>>>,
}

/// One uptime of a server.
struct Uptime {
    ended: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl Server {
    pub fn start(address: SocketAddr, handler: Handler) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("bind");
        let address = listener.local_addr().expect("address");
        let server = Arc::new(Self { address, handler, up: Mutex::new(None) });
        server.serve(listener);
        server
    }

    /// Accepts connections again, at the same address.
    pub fn raise(&self) {
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(5)),
            }
        };
        self.serve(listener);
    }

    /// Closes the listener and all connections: the port refuses connections from then on.
    pub fn lower(&self) {
        if let Some(uptime) = self.up.lock().unwrap().take() {
            uptime.ended.store(true, Ordering::SeqCst);
            for stream in uptime.streams.lock().unwrap().drain(..) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        }
        thread::sleep(Duration::from_millis(6));
    }

    fn serve(&self, listener: TcpListener) {
        let streams = Mutex::new(Vec::new());
        let uptime = Arc::new(Uptime { ended: AtomicBool::new(false), streams });
        *self.up.lock().unwrap() = Some(uptime.clone());
        let handler = self.handler.clone();
        listener.set_nonblocking(true).expect("non-blocking");
        thread::spawn(move || {
            while !uptime.ended.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    uptime.streams.lock().unwrap().push(copy);
                }
                let handler = handler.clone();
                thread::spawn(move || serve_stream(stream, &handler));
            }
        });
    }
}

fn serve_stream(stream: TcpStream, handler: &Handler) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        match handler(request) {
            Reply::Json(status, body) => {
                let body = body.to_string();
                let head = format!(
                    "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                if writer.write_all(format!("{head}{body}").as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Close => {
                let _ = writer.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }
    let _ = writer.shutdown(std::net::Shutdown::Both);
}

fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(String, BTreeMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(reader: &mut BufReader<TcpStream>, headers: &BTreeMap<String, String>) -> Option<Vec<u8>> {
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let body = read_body(reader, &headers)?;
    let mut words = first.split(' ');
    let _method = words.next()?;
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), unescape(value))).collect();
    let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
    Some(Request { path: path.to_owned(), query, headers, body })
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut index) = (Vec::new(), 0);
    while index < bytes.len() {
        let hex = text.get(index + 1..index + 3).filter(|_| bytes[index] == b'%');
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                index += 3;
            }
            None => {
                out.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends one request on a channel of its own. `None` if it is not answered in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: Option<&Value>,
    wait: Duration,
) -> Option<(u16, Value)> {
    let stream = TcpStream::connect_timeout(&address, wait).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    stream.set_nodelay(true).ok()?;
    let body = body.map(Value::to_string).unwrap_or_default();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nDeadline-Ms: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        wait.as_millis(),
        body.len()
    );
    (&stream).write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
}
