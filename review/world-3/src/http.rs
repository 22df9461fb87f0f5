//! HTTP/1.1 over blocking sockets: a server with a thread for each connection,
//! and a client that makes one call on each connection.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

#[derive(Clone)]
pub struct Request {
    /// The path without the query.
    pub path: String,
    pub query: Vec<(String, String)>,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn parameter(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }
}

/// What a handler does with a request.
pub enum Reply {
    Answer(u16, String),
    /// Closes the connection without an answer.
    Close,
}

/// A listener that can be closed together with its connections.
pub struct Server {
    address: SocketAddr,
    closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start<H>(address: SocketAddr, handler: H) -> Server
    where
        H: Fn(Request) -> Reply + Send + Sync + 'static,
    {
        let listener = listen(address);
        let closed = Arc::new(AtomicBool::new(false));
        let streams = Arc::new(Mutex::new(Vec::new()));
        let handler = Arc::new(handler);
        let (is_closed, open) = (closed.clone(), streams.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                if is_closed.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().push(copy);
                }
                let handler = handler.clone();
                thread::spawn(move || serve(stream, &*handler));
            }
        });
        Server {
            address,
            closed,
            streams,
        }
    }

    /// Closes the listener and all connections.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the accepting thread, which then drops the listener.
        let _ = TcpStream::connect(self.address);
    }
}

/// Binds an address. A former listener there may have just been closed.
fn listen(address: SocketAddr) -> TcpListener {
    for _ in 0..100 {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("cannot listen on {address}");
}

fn serve(stream: TcpStream, handler: &dyn Fn(Request) -> Reply) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        match handler(request) {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                writer.write_all((head + &body).as_bytes()).ok()?;
            }
            Reply::Close => {
                let _ = writer.shutdown(Shutdown::Both);
                return None;
            }
        }
    }
    None
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split_whitespace();
    let _method = words.next()?;
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query
        .map(|(key, value)| (unescape(key), unescape(value)))
        .collect();
    let path = path.to_owned();
    let body = read_body(reader, &headers)?;
    Some(Request {
        path,
        query,
        headers,
        body,
    })
}

type Headers = Vec<(String, String)>;

fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(String, Headers)> {
    let mut first = String::new();
    reader
        .read_line(&mut first)
        .ok()
        .filter(|length| *length > 0)?;
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader
            .read_line(&mut line)
            .ok()
            .filter(|length| *length > 0)?;
        match line.trim_end().split_once(':') {
            Some((key, value)) => headers.push((key.to_owned(), value.trim().to_owned())),
            None => return Some((first.trim_end().to_owned(), headers)),
        }
    }
}

fn read_body(reader: &mut BufReader<TcpStream>, headers: &Headers) -> Option<Vec<u8>> {
    let length = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case("content-length"));
    let length = length
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut plain = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text
            .get(at + 1..at + 3)
            .and_then(|code| u8::from_str_radix(code, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                plain.push(code);
                at += 3;
            }
            (byte, _) => {
                plain.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}

/// Makes one call. Returns `None` if there is no complete answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let _ = stream.set_nodelay(true);
    let deadline = limit.as_millis();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nFilbertbend-Deadline-Ms: {deadline}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split_whitespace().nth(1)?.parse().ok()?;
    Some((status, read_body(&mut reader, &headers)?))
}
