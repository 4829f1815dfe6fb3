//! Minimal HTTP/1.1 server and client on loopback, one thread a connection.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

#[derive(Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    pub fn query_value(&self, name: &str) -> Option<&str> {
        self.query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map_or("", |(_, v)| v)
}

/// Serves connections; the handler writes the response and returns whether to keep the connection.
pub fn serve<H>(listener: TcpListener, handler: H)
where
    H: Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
}

fn serve_connection<H>(stream: TcpStream, handler: &H) -> io::Result<()>
where
    H: Fn(&Request, &mut TcpStream) -> io::Result<bool>,
{
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        if !handler(&request, &mut writer)? {
            break;
        }
    }
    Ok(())
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let length = find(&headers, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Request { method, path: path.into(), query: query.into(), headers, body }))
}

type Head = (String, Vec<(String, String)>);

fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Writes a complete response.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<bool> {
    let mut head = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    Ok(true)
}

/// What a client saw of a response.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }
}

/// A client connection, kept for several requests.
pub struct Connection {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    /// Sends a request and reads the complete response, within the timeout.
    pub fn call(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        timeout: Duration,
    ) -> io::Result<Response> {
        let until = Instant::now() + timeout;
        let mut head = format!("{method} {target} HTTP/1.1\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)?;
        self.limit(until)?;
        let Some((first, headers)) = read_head(&mut self.reader)? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        let status = first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        let mut response = Response { status, headers, body: Vec::new() };
        if response.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            loop {
                self.limit(until)?;
                let mut line = String::new();
                if self.reader.read_line(&mut line)? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                let length = usize::from_str_radix(line.trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let mut chunk = vec![0; length + 2];
                self.reader.read_exact(&mut chunk)?;
                if length == 0 {
                    return Ok(response);
                }
                response.body.extend_from_slice(&chunk[..length]);
            }
        }
        let length = response.header("content-length").parse().unwrap_or(0);
        response.body = vec![0; length];
        self.reader.read_exact(&mut response.body)?;
        Ok(response)
    }

    fn limit(&self, until: Instant) -> io::Result<()> {
        let left = until.saturating_duration_since(Instant::now());
        self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))
    }
}

/// A listener on a free loopback port.
pub fn listen() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let address = listener.local_addr().expect("no address").to_string();
    (listener, address)
}
