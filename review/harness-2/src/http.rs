//! A small HTTP/1.1 server and client on blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn query(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// What a handler does with a request.
pub enum Reply {
    Answer(u16, String),
    /// No answer; nothing more comes on the connection.
    Silence,
    /// The connection is closed.
    Close,
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut found = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("");
            found.push(u8::from_str_radix(hex, 16).unwrap_or(b'?'));
            at += 3;
        } else {
            found.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&found).into_owned()
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().unwrap_or("").to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter(|pair| !pair.is_empty());
    let query = query
        .map(|pair| pair.split_once('=').unwrap_or((pair, "")))
        .map(|(key, value)| (decode(key), decode(value)))
        .collect();
    let path = path.to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let length = headers.iter().find(|(key, _)| key == "content-length");
    let length = length
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Request {
        method,
        path,
        query,
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    }))
}

/// A server that can be closed together with all its connections, as when its
/// process ends.
#[derive(Clone)]
pub struct Server {
    closed: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start<H>(address: SocketAddr, handler: H) -> io::Result<(Self, SocketAddr)>
    where
        H: Fn(Request) -> Reply + Clone + Send + 'static,
    {
        let listener = TcpListener::bind(address)?;
        let bound = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let server = Self {
            closed: Arc::default(),
            open: Arc::default(),
        };
        let own = server.clone();
        thread::spawn(move || {
            while !own.closed.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => own.serve(stream, handler.clone()),
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok((server, bound))
    }

    fn serve<H>(&self, stream: TcpStream, handler: H)
    where
        H: Fn(Request) -> Reply + Send + 'static,
    {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let (Ok(copy), Ok(mut output)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        let mut open = self.open.lock().unwrap();
        open.push(copy);
        drop(open);
        let closed = self.closed.clone();
        thread::spawn(move || {
            let mut reader = BufReader::new(stream);
            while let Ok(Some(request)) = read_request(&mut reader) {
                let reply = handler(request);
                if closed.load(Ordering::SeqCst) {
                    break;
                }
                match reply {
                    Reply::Answer(status, body) => {
                        let text = format!(
                            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
                            body.len()
                        );
                        if output.write_all(text.as_bytes()).is_err() {
                            break;
                        }
                    }
                    Reply::Silence => {
                        // Reads on until the client gives the connection up.
                        let mut rest = [0; 1024];
                        while matches!(reader.read(&mut rest), Ok(count) if count > 0) {}
                        break;
                    }
                    Reply::Close => break,
                }
            }
            let _ = output.shutdown(std::net::Shutdown::Both);
        });
    }

    /// Closes the listener and all connections.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// Makes one call on a new connection. Returns `None` if there is no answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(key, _)| *key == "Host") {
        text.push_str(&format!("Host: {address}\r\n"));
    }
    for (key, value) in headers {
        text.push_str(&format!("{key}: {value}\r\n"));
    }
    text.push_str(&format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    ));
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
