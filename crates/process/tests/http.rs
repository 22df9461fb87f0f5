//! Tests of which connections of operators are given up.

use {
    axum::{routing::get, Router},
    filbertbend_process::{clients::STALL_TIME, http},
    std::{net::Ipv4Addr, sync::Arc},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::{watch, Notify},
        time::sleep,
    },
};

const LIMITS: http::Limits = http::Limits {
    header_bytes: 8 << 10,
    connections: 1,
    overflow: http::Overflow::Evict,
};

/// Guards against a scraper whose answer is lost because another connects.
#[tokio::test]
async fn connection_stays_while_its_request_is_answered() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (_stop, stopping) = watch::channel(false);
    let (ready, begun) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let (answering, beginning) = (ready.clone(), begun.clone());
    let answer = move || async move {
        beginning.notify_one();
        answering.notified().await;
    };
    let router = Router::new().route("/", get(answer));
    tokio::spawn(http::serve(listener, router, LIMITS, stopping));
    let mut first = TcpStream::connect(address).await.unwrap();
    let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    first.write_all(request).await.unwrap();
    begun.notified().await;

    let _second = TcpStream::connect(address).await.unwrap();
    sleep(2 * STALL_TIME).await;
    ready.notify_one();
    let mut status = [0; 12];
    let read = first.read_exact(&mut status).await;

    assert!(read.is_ok(), "{read:?}");
    assert_eq!(&status, b"HTTP/1.1 200");
}
