//! Serves quick checks that entries send, by forwarding them to the endpoint.

use {
    super::{control, endpoint},
    filbertbend_protocol::message::{Request, Response},
    filbertbend_state::{outcome::Reason, unit::Millis},
    filbertbend_transport::{
        http::{end_to_end_fields, receive_body, send_body},
        link::{self, Receiver, Sender},
    },
    spdlog::prelude::*,
    std::time::Duration,
    tokio::time::Instant,
};

/// How long the entry may take to acknowledge the end of an answer. Three
/// consecutive losses of the same packet are repaired within this time.
const DELIVERY_LIMIT: Duration = Duration::from_secs(2);
/// Suggested delay before a retry after the endpoint could not be reached.
const RETRY_AFTER: Millis = Millis(250);

/// Serves `request`. On any failure the entry gets a response that says so or the
/// stream is reset, so it never takes a truncated answer for a complete one.
/// Returns once the entry has the whole answer, so that the process does not exit
/// earlier.
pub(crate) async fn serve(
    request: Request,
    mut sender: Sender,
    receiver: Receiver,
    control: control::Handle,
    endpoint: endpoint::Client,
) {
    let deadline = Instant::now() + request.remaining.duration();
    let slot = match control.admit(&request).await {
        Ok(slot) => slot,
        Err(response) => {
            send_refusal(&mut sender, &response, &request).await;
            return wait_for_delivery(&sender).await;
        }
    };
    let started = Instant::now();
    let result = forward(&request, &mut sender, receiver, &endpoint, deadline).await;
    drop(slot);
    let service = request.service.clone();
    let elapsed = started.elapsed();
    control
        .send(control::Input::Served { service, elapsed })
        .await;
    match result {
        Ok(()) => wait_for_delivery(&sender).await,
        Err(error) => {
            sender.abort();
            debug!("request failed", kv: { request = request.id.0, error: });
        }
    }
}

/// Waits until the entry has acknowledged everything that was sent.
async fn wait_for_delivery(sender: &Sender) {
    if tokio::time::timeout(DELIVERY_LIMIT, sender.stopped())
        .await
        .is_err()
    {
        debug!("answer not acknowledged in time");
    }
}

async fn forward(
    request: &Request,
    sender: &mut Sender,
    receiver: Receiver,
    endpoint: &endpoint::Client,
    deadline: Instant,
) -> Result<(), link::Error> {
    let forwarded = endpoint.check(request, receive_body(receiver, deadline));
    // The entry resets the stream when its caller has disconnected, which also
    // cancels the request at the endpoint.
    let response = tokio::select! {
        response = forwarded => response,
        () = tokio::time::sleep_until(deadline) => {
            return send_response(sender, Response::Expired { started: true }).await;
        }
        () = sender.stopped() => return Ok(()),
    };
    match response {
        Ok(response) => {
            let head = Response::Head {
                status: response.status().as_u16(),
                headers: end_to_end_fields(response.headers()),
            };
            sender.send(&head).await?;
            let sent = tokio::time::timeout_at(deadline, send_body(sender, response.into_body()));
            match sent.await {
                Ok(result) => result.map(|_| ()),
                Err(_) => {
                    sender.abort();
                    Ok(())
                }
            }
        }
        Err(endpoint::Error::Unreachable(_) | endpoint::Error::Invalid(_)) => {
            let refusal = Response::Refused {
                reason: Reason::NoEndpoint,
                retry_after: RETRY_AFTER,
            };
            send_response(sender, refusal).await
        }
        Err(endpoint::Error::Broken(_)) => send_response(sender, Response::Broken).await,
    }
}

async fn send_response(sender: &mut Sender, response: Response) -> Result<(), link::Error> {
    sender.send(&response).await?;
    sender.finish();
    Ok(())
}

async fn send_refusal(sender: &mut Sender, response: &Response, request: &Request) {
    let sent = sender.send(response).await;
    sender.finish();
    if let Err(error) = sent {
        debug!("refusal not delivered", kv: { request = request.id.0, error: });
    }
}
