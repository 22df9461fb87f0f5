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

/// Header fields as names and values, in the form that frames carry.
pub type Fields = Vec<(Arc<str>, Vec<u8>)>;

/// Hop-by-hop fields, which concern one connection and are never forwarded.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Returns the fields to forward: all except the hop-by-hop fields and those
/// that `Connection` names.
pub fn end_to_end_fields(headers: &HeaderMap) -> Fields {
    let named = connection_fields(headers);
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(name) && name.as_str() != "keep-alive")
        .filter(|(name, _)| !named.iter().any(|other| other == name.as_str()))
        .map(|(name, value)| (name.as_str().into(), value.as_bytes().to_vec()))
        .collect()
}

/// Returns the names in the `Connection` fields, which are hop-by-hop too.
fn connection_fields(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

/// Converts `fields` to a header map, without those that are not valid in HTTP.
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

/// Sends an HTTP body as frames, and returns whether the body was complete.
///
/// If the body fails, the peer is sent a [`Body::Abort`] frame and the result
/// is `Ok(false)`.
///
/// # Errors
///
/// Returns an error if the stream is broken.
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

/// Converts the remaining frames of a stream to an HTTP body.
///
/// If the stream ends before its [`Body::End`] frame, or `deadline` passes, the
/// body fails with an error, so that it never counts as complete.
pub fn receive_body(
    receiver: Receiver,
    deadline: Instant,
) -> impl HttpBody<Data = Bytes, Error = io::Error> + Send + 'static {
    StreamBody::new(futures_util::stream::unfold(
        Some(receiver),
        move |receiver| async move {
            let mut receiver = receiver?;
            let truncated = |message: String| Some((Err(io::Error::other(message)), None));
            let Ok(frame) = timeout_at(deadline, receiver.receive::<Body>()).await else {
                return truncated("the deadline passed before the body was complete".to_owned());
            };
            match frame {
                Ok(Some(Body::Data(data))) => Some((Ok(Frame::data(data)), Some(receiver))),
                Ok(Some(Body::End(trailers))) if trailers.is_empty() => None,
                Ok(Some(Body::End(trailers))) => {
                    Some((Ok(Frame::trailers(headers(&trailers))), None))
                }
                Ok(Some(Body::Abort)) => truncated("the sender aborted the body".to_owned()),
                Ok(None) => truncated("the stream ended before the body was complete".to_owned()),
                Err(error) => truncated(error.to_string()),
            }
        },
    ))
}
