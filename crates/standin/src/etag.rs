//! JSON responses with an entity tag, so that polling costs little while nothing changes.

use {
    rocket::{
        Request,
        http::{ContentType, Status},
        response::{self, Responder, Response},
    },
    serde::Serialize,
    std::io::Cursor,
    turmerictack_model::digest::hash64,
};

/// JSON body with an `etag` header; responds with 304 if the tag equals the request's
/// `if-none-match`.
#[derive(Debug)]
pub struct JsonWithEtag<T>(pub T);

impl<'r, T: Serialize> Responder<'r, 'r> for JsonWithEtag<T> {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'r> {
        let body = serde_json::to_string(&self.0).map_err(|_| Status::InternalServerError)?;
        let tag = format!("\"{:x}\"", hash64(&[body.as_bytes()]));
        let mut response = Response::build();
        response.raw_header("etag", tag.clone());
        if request.headers().get_one("if-none-match") == Some(&tag) {
            return response.status(Status::NotModified).ok();
        }
        response.header(ContentType::JSON).sized_body(body.len(), Cursor::new(body)).ok()
    }
}
