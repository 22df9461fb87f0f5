//! A blocking HTTP/1.1 server and client, as far as the pages need them.

use std::{
    collections::HashMap,
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: String,
}

/// What a handler does with a request.
pub enum Reply {
    Answer(u16, String),
    /// The connection returns nothing further.
    Silence,
}

/// A server whose connections can all be reset at once.
pub struct Server {
    stop: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    accepting: Option<thread::JoinHandle<()>>,
}

impl Server {
    pub fn start(
        address: SocketAddr,
        handler: impl Fn(Request) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let begun = Instant::now();
        let listener = loop {
            match TcpListener::bind(address) {
                Ok(listener) => break listener,
                Err(error) if begun.elapsed() > Duration::from_secs(3) => {
                    panic!("cannot listen on {address}: {error}")
                }
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        };
        listener.set_nonblocking(true).unwrap();
        let stop = Arc::new(AtomicBool::new(false));
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let handler = Arc::new(handler);
        let (stopping, streams) = (stop.clone(), open.clone());
        let accepting = thread::spawn(move || {
            while !stopping.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                stream.set_nonblocking(false).unwrap();
                let _ = stream.set_nodelay(true);
                streams.lock().unwrap().push(stream.try_clone().unwrap());
                let (handler, stopping) = (handler.clone(), stopping.clone());
                thread::spawn(move || {
                    let _ = serve(stream, &*handler, &stopping);
                });
            }
        });
        Self {
            stop,
            open,
            accepting: Some(accepting),
        }
    }

    /// Closes the listener and all connections, as the end of a process does.
    pub fn kill(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        if let Some(accepting) = self.accepting.take() {
            let _ = accepting.join();
        }
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(
    stream: TcpStream,
    handler: &dyn Fn(Request) -> Reply,
    stop: &AtomicBool,
) -> std::io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let Some((line, headers, body)) = read_message(&mut reader)? else {
            return Ok(());
        };
        if stop.load(Ordering::SeqCst) {
            return Ok(());
        }
        let mut words = line.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), unescape(value)))
            .collect();
        let request = Request {
            method,
            path: path.to_owned(),
            query,
            headers,
            body,
        };
        let (status, text) = match handler(request) {
            Reply::Answer(status, text) => (status, text),
            Reply::Silence => {
                // Holds the connection open until the other side closes it.
                let mut rest = [0; 1024];
                while reader.read(&mut rest)? > 0 {}
                return Ok(());
            }
        };
        if stop.load(Ordering::SeqCst) {
            return Ok(());
        }
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            text.len()
        );
        writer.write_all((head + &text).as_bytes())?;
    }
}

type Message = (String, HashMap<String, String>, String);

fn read_message(reader: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header)? == 0 {
            return Ok(None);
        }
        if header.trim_end().is_empty() {
            break;
        }
        if let Some((name, value)) = header.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers
        .get("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok(Some((line.trim_end().to_owned(), headers, body)))
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match code {
            Some(code) => {
                out.push(code);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Writes a request, for callers that send it themselves.
pub fn encode(method: &str, path: &str, host: &str, headers: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\n{headers}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends one request on a new connection; returns the status and the body of
/// the answer, or `None` if there is none within `timeout`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    headers: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let begun = Instant::now();
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream
        .write_all(encode(method, path, host, headers, body).as_bytes())
        .ok()?;
    let mut reader = BufReader::new(stream);
    let (line, _, body) = read_message(&mut reader).ok()??;
    if begun.elapsed() > timeout + Duration::from_millis(50) {
        return None;
    }
    Some((line.split(' ').nth(1)?.parse().ok()?, body))
}
