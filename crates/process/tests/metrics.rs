//! Tests of the metrics that a process serves.

use {
    filbertbend_process::{http, operators},
    std::net::Ipv4Addr,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::watch,
    },
};

const LIMITS: http::Limits = http::Limits {
    header_bytes: 8 << 10,
    connections: 2,
    overflow: http::Overflow::Wait,
};

/// Guards against counters that are recorded but not served.
#[tokio::test]
async fn counters_are_served_as_text() {
    let recorder = operators::install_recorder().unwrap();
    metrics::counter!("filbertbend_starts_total").increment(3);
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (_stop, stopping) = watch::channel(false);
    let router = operators::metrics_router(recorder);
    tokio::spawn(http::serve(listener, router, LIMITS, stopping));

    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = b"GET /metrics HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    stream.write_all(request).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();

    assert!(answer.starts_with("HTTP/1.1 200 OK"), "{answer}");
    assert!(
        answer.contains("\nfilbertbend_starts_total 3\n"),
        "{answer}"
    );
}
