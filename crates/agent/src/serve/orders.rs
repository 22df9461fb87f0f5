//! Sends orders to the endpoint and reports the results to the executor.

use {
    super::{
        control::{Handle, Input},
        endpoint,
    },
    filbertbend_coordination::{
        attempt::{Attempt, Work},
        executor::{Delivery, Event},
    },
    filbertbend_state::time::Instant,
    filbertbend_transport::clock,
    spdlog::prelude::*,
    tokio::runtime,
};

/// Sends orders on the traffic threads.
#[derive(Clone)]
pub(crate) struct Orders {
    /// The runtime of the traffic threads.
    pub(crate) runtime: runtime::Handle,
    /// The control thread, which receives the results.
    pub(crate) control: Handle,
    /// The endpoint that orders go to.
    pub(crate) endpoint: endpoint::Client,
}

impl Orders {
    /// Sends one order unless `send_by` has passed.
    pub(crate) fn send(&self, attempt: Attempt, work: Work, send_by: Instant) {
        let orders = self.clone();
        self.runtime.spawn(async move {
            let delivery = orders.endpoint.order(&work, send_by).await;
            info!("order attempt ended", kv: { job: = attempt.task.job, delivery = delivery_name(&delivery) });
            let event = Event::Order { attempt, delivery };
            orders.control.send(Input::Executor(event)).await;
        });
    }
}

fn delivery_name(delivery: &Delivery) -> &'static str {
    match delivery {
        Delivery::Answered(_) => "answered",
        Delivery::NotSent => "not-sent",
        Delivery::Lost => "lost",
    }
}

/// Tells whether an order may still be sent. Checked immediately before the
/// request, because the process may have been frozen since the lease was granted.
pub(crate) fn may_be_sent(send_by: Instant) -> bool {
    clock::monotonic() < send_by
}
