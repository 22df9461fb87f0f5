//! Generates a load of HTTP requests, either closed-loop or at a fixed rate.

use {
    filbertbend_standin::client::Client,
    hdrhistogram::Histogram,
    std::{net::SocketAddr, time::Duration},
    tokio::{task::JoinSet, time::Instant},
};

/// Highest latency that the histogram records, in microseconds.
const LATENCY_LIMIT_US: u64 = 60_000_000;
/// Significant decimal digits of the recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latencies, failures and duration of a load.
#[derive(Clone, Debug)]
pub struct Measurement {
    /// Latencies of the answered requests, in microseconds.
    pub latencies_us: Histogram<u64>,
    /// Requests that failed or were answered with a status other than 200.
    pub failed: u64,
    /// Time from the start of the load to its last answer.
    pub elapsed: Duration,
}

impl Measurement {
    fn empty() -> Self {
        let latencies_us = Histogram::new_with_max(LATENCY_LIMIT_US, SIGNIFICANT_DIGITS);
        Self {
            latencies_us: latencies_us.expect("the bounds are valid"),
            failed: 0,
            elapsed: Duration::ZERO,
        }
    }

    /// Returns the answered requests per second.
    pub fn throughput(&self) -> f64 {
        self.latencies_us.len() as f64 / self.elapsed.as_secs_f64()
    }

    /// Returns a quantile of the latencies in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latencies_us.value_at_quantile(quantile) as f64 / 1000.0
    }

    fn merge(&mut self, other: &Self) {
        self.failed += other.failed;
        let added = self.latencies_us.add(&other.latencies_us);
        added.expect("both histograms have the same bounds");
    }
}

/// Sends requests for `path` over `connections` connections for `duration`, one
/// at a time on each connection. With `rate_per_s`, requests are due at fixed
/// times and latencies count from then, so that the delay which a slow answer
/// causes for the requests behind it is part of their latency.
pub async fn run(
    address: SocketAddr,
    path: &'static str,
    connections: u32,
    rate_per_s: Option<f64>,
    duration: Duration,
) -> Measurement {
    let started = Instant::now();
    let mut tasks = JoinSet::new();
    for index in 0..connections {
        let interval =
            rate_per_s.map(|rate| Duration::from_secs_f64(f64::from(connections) / rate));
        let initial_delay = interval.map(|interval| interval * index / connections);
        tasks.spawn(send_requests(
            address,
            path,
            interval,
            initial_delay,
            started + duration,
        ));
    }
    let mut measurement = Measurement::empty();
    while let Some(partial) = tasks.join_next().await {
        measurement.merge(&partial.expect("a load task does not panic"));
    }
    measurement.elapsed = started.elapsed();
    measurement
}

async fn send_requests(
    address: SocketAddr,
    path: &'static str,
    interval: Option<Duration>,
    initial_delay: Option<Duration>,
    end: Instant,
) -> Measurement {
    let client = Client::new(address);
    let mut measurement = Measurement::empty();
    let mut due = Instant::now() + initial_delay.unwrap_or_default();
    while Instant::now() < end {
        if let Some(interval) = interval {
            tokio::time::sleep_until(due).await;
            due += interval;
        }
        let intended_start = match interval {
            Some(interval) => due - interval,
            None => Instant::now(),
        };
        let answered = client.get(path).await;
        if answered.is_ok_and(|answer| answer.status == 200) {
            let elapsed_us = intended_start.elapsed().as_micros() as u64;
            measurement.latencies_us.saturating_record(elapsed_us);
        } else {
            measurement.failed += 1;
        }
    }
    measurement
}
