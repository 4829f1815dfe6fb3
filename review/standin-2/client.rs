//! Requests of clients, each on a new connection.

use {
    crate::{http::Connection, record::Record},
    std::{
        io,
        time::{Duration, Instant},
    },
};

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Head of a request up to the fields of its body.
pub fn head(method: &str, path: &str, id: &str, deadline_ms: u64) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Key: {KEY}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\n"
    )
}

/// Sends a request without a stream and waits for its answer for `limit`; returns its status, or
/// `None` if no whole answer came.
pub fn ask(
    record: &Record,
    address: &str,
    method: &str,
    path: &str,
    id: &str,
    deadline: Duration,
    limit: Duration,
) -> Option<u16> {
    let started_at = Instant::now();
    let answer = || -> io::Result<u16> {
        let mut connection = Connection::connect(address, Duration::from_secs(1))?;
        let body = if method == "POST" { "a crew for the ford" } else { "" };
        let head = head(method, path, id, deadline.as_millis() as u64);
        let length = body.len();
        connection.write(format!("{head}Content-Length: {length}\r\n\r\n{body}").as_bytes())?;
        let left = limit.saturating_sub(started_at.elapsed()).max(Duration::from_millis(1));
        connection.stream.set_read_timeout(Some(left))?;
        Ok(connection.read_message()?.status())
    };
    let result = answer();
    let status = result.as_ref().ok().copied();
    let told = match &result {
        Ok(status) => status.to_string(),
        Err(error) => format!("no answer ({:?})", error.kind()),
    };
    record.line(&format!("client: {id} {method} {path}: {told} after {:?}", started_at.elapsed()));
    status
}
