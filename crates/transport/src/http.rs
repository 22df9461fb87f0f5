//! Conversion between HTTP messages and the frames of a request stream.

use {
    crate::link::{Error, Receiver, Sender},
    bytes::Bytes,
    filbertbend_protocol::{message::Body, wire::CHUNK_LIMIT_BYTES},
    http::{header, HeaderMap, HeaderName, HeaderValue},
    http_body::{Body as HttpBody, Frame},
    http_body_util::{BodyExt, StreamBody},
    std::{io, sync::Arc},
    tokio::time::{timeout_at, Instant},
};

/// Header fields in the form that frames carry.
pub type Fields = Vec<(Arc<str>, Vec<u8>)>;

/// Fields that concern one connection only and are never passed on.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Collects the fields that are passed on to the next process.
pub fn end_to_end_fields(headers: &HeaderMap) -> Fields {
    let named = connection_fields(headers);
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(name) && name.as_str() != "keep-alive")
        .filter(|(name, _)| !named.iter().any(|other| other == name.as_str()))
        .map(|(name, value)| (name.as_str().into(), value.as_bytes().to_vec()))
        .collect()
}

/// Lists the fields that `Connection` names as belonging to one connection.
fn connection_fields(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

/// Makes header fields of `fields`, passing over any that HTTP does not allow.
pub fn headers(fields: &Fields) -> HeaderMap {
    fields
        .iter()
        .filter_map(|(name, value)| {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            let value = HeaderValue::from_bytes(value).ok()?;
            Some((name, value))
        })
        .collect()
}

/// Sends a whole HTTP body as frames.
///
/// # Errors
///
/// Returns an error if the stream is broken. If the body itself breaks, an
/// [`Body::Abort`] frame tells the peer, and `Ok(false)` is returned.
pub async fn send_body<B>(sender: &mut Sender, mut body: B) -> Result<bool, Error>
where
    B: HttpBody<Data = Bytes> + Unpin,
{
    let mut trailers = Fields::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            sender.send(&Body::Abort).await?;
            sender.finish();
            return Ok(false);
        };
        match frame.into_data() {
            Ok(data) => send_data(sender, data).await?,
            Err(frame) => {
                if let Ok(map) = frame.into_trailers() {
                    trailers = end_to_end_fields(&map);
                }
            }
        }
    }
    sender.send(&Body::End(trailers)).await?;
    sender.finish();
    Ok(true)
}

async fn send_data(sender: &mut Sender, mut data: Bytes) -> Result<(), Error> {
    while !data.is_empty() {
        let chunk = data.split_to(data.len().min(CHUNK_LIMIT_BYTES));
        sender.send(&Body::Data(chunk)).await?;
    }
    Ok(())
}

/// Makes an HTTP body of the frames that are still to come on a stream.
///
/// The body ends with an error, never as complete, if the stream ends before
/// its [`Body::End`] frame or `deadline` passes.
pub fn receive_body(
    receiver: Receiver,
    deadline: Instant,
) -> impl HttpBody<Data = Bytes, Error = io::Error> + Send + 'static {
    StreamBody::new(futures_util::stream::unfold(
        Some(receiver),
        move |receiver| async move {
            let mut receiver = receiver?;
            let truncated = |what: String| Some((Err(io::Error::other(what)), None));
            let Ok(frame) = timeout_at(deadline, receiver.receive::<Body>()).await else {
                return truncated("the deadline passed before the body was complete".to_owned());
            };
            match frame {
                Ok(Some(Body::Data(data))) => Some((Ok(Frame::data(data)), Some(receiver))),
                Ok(Some(Body::End(trailers))) if trailers.is_empty() => None,
                Ok(Some(Body::End(trailers))) => {
                    Some((Ok(Frame::trailers(headers(&trailers))), None))
                }
                Ok(Some(Body::Abort)) => truncated("the sender gave the body up".to_owned()),
                Ok(None) => truncated("the stream ended before the body".to_owned()),
                Err(error) => truncated(error.to_string()),
            }
        },
    ))
}
