//! HTTP/1.1 as stand-ins speak it: one thread a connection.

use std::{
    io::{self, Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// A request or a response: its first line, its header fields in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn word(&self, at: usize) -> &str {
        self.start.split(' ').nth(at).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Connection with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new() }
    }

    pub fn connect(address: &str, limit: Duration) -> io::Result<Self> {
        let address: SocketAddr = address.parse().map_err(io::Error::other)?;
        TcpStream::connect_timeout(&address, limit).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16 * 1024];
        match self.stream.read(&mut bytes)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            read => {
                self.buf.extend_from_slice(&bytes[..read]);
                Ok(())
            }
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buf.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    fn exact(&mut self, bytes: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < bytes {
            self.fill()?;
        }
        Ok(self.buf.drain(..bytes).collect())
    }

    pub fn read_head(&mut self) -> io::Result<Message> {
        let start = self.line()?;
        let mut fields = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(Message { start, fields, body: Vec::new() });
            }
            if let Some((name, value)) = line.split_once(':') {
                fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// One chunk of a body in chunks; empty at its end.
    pub fn read_chunk(&mut self) -> io::Result<Vec<u8>> {
        let size = self.line()?;
        let size = size.split(';').next().unwrap_or_default().trim().to_owned();
        let size = usize::from_str_radix(&size, 16).map_err(io::Error::other)?;
        let chunk = self.exact(size)?;
        self.line()?;
        Ok(chunk)
    }

    pub fn read_message(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        if message.field("transfer-encoding").is_some_and(|v| v.contains("chunked")) {
            loop {
                let chunk = self.read_chunk()?;
                if chunk.is_empty() {
                    return Ok(message);
                }
                message.body.extend(chunk);
            }
        }
        let length = message.field("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        message.body = self.exact(length)?;
        Ok(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn respond(&mut self, status: &str, fields: &str, body: &[u8]) -> io::Result<()> {
        let head = format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
        self.write(&[head.as_bytes(), body].concat())
    }

    /// Whether the peer has closed the connection.
    pub fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(read) => read == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Waits; returns `false` as soon as the peer has closed the connection.
    pub fn wait(&self, time: Duration) -> bool {
        let end = Instant::now() + time;
        while Instant::now() < end {
            if self.is_closed() {
                return false;
            }
            thread::sleep(
                Duration::from_millis(5).min(end.saturating_duration_since(Instant::now())),
            );
        }
        true
    }
}

/// Time without a request after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which a server looks for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);

/// Stops a server from listening; its connections go on.
#[derive(Clone, Default)]
pub struct Listening(Arc<AtomicBool>);

impl Listening {
    pub fn stop(&self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Serves requests on a listener; the handler returns whether the connection stays open.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(Message, &mut Connection) -> bool + Send + Sync + 'static,
) -> Listening {
    let listening = Listening::default();
    let (handler, is_stopped) = (Arc::new(handler), Arc::clone(&listening.0));
    let _ = listener.set_nonblocking(true);
    thread::spawn(move || {
        while !is_stopped.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_INTERVAL);
                continue;
            };
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_read_timeout(Some(IDLE_TIMEOUT));
                let mut connection = Connection::new(stream);
                while let Ok(request) = connection.read_message() {
                    if !handler(request, &mut connection) {
                        return;
                    }
                }
            });
        }
    });
    listening
}
