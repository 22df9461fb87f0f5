//! Keeps the leader's key bound to a valid lease.
//!
//! Leases run out while the store answers nobody. Other entries may claim once
//! the key is gone, so the leader notices early that the store answers again. A
//! renewal or grant that takes effect twice does no harm, so they are repeated
//! while earlier attempts still wait for their answers.

use {
    crate::{
        entry::Inbox,
        platform::{Failure, Lease, Store},
        term::Input,
    },
    filbertbend_workload::leadership,
    spdlog::prelude::*,
    std::{future::Future, rc::Rc, time::Duration},
    tokio::{
        sync::watch,
        task::JoinSet,
        time::{interval, sleep, Instant, MissedTickBehavior},
    },
};

/// Interval at which a call without an answer is repeated.
const REPEAT_INTERVAL: Duration = Duration::from_millis(150);
/// A call that was first made this long ago, and answered only when repeated,
/// means that the store was away.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(450);

/// Renews the lease of the leader's key, and obtains another one when it has
/// expired. Tells `recovered` when the answered call was made after an outage.
pub(crate) async fn keep<S: Store>(
    store: S,
    mut lease: Lease,
    inbox: Rc<Inbox>,
    recovered: watch::Sender<Instant>,
) {
    loop {
        sleep(leadership::RENEW_INTERVAL.duration()).await;
        let renew = || {
            let store = store.clone();
            async move {
                match store.renew(lease).await {
                    Ok(()) => Ok(true),
                    Err(Failure::LeaseNotFound) => Ok(false),
                    Err(error) => Err(error),
                }
            }
        };
        if first_answer(renew, &recovered).await {
            continue;
        }
        warn!("lease of the leader's key has expired");
        let grant = || {
            let store = store.clone();
            async move { store.grant(leadership::KEY_TTL).await }
        };
        lease = first_answer(grant, &recovered).await;
        inbox.send(Input::Announce(lease)).await;
    }
}

/// Makes a call at intervals until one of them is answered.
async fn first_answer<T, F>(call: impl Fn() -> F, recovered: &watch::Sender<Instant>) -> T
where
    T: 'static,
    F: Future<Output = Result<T, Failure>> + 'static,
{
    let began = Instant::now();
    let mut repeat = interval(REPEAT_INTERVAL);
    repeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut calls = JoinSet::new();
    loop {
        tokio::select! {
            _ = repeat.tick() => {
                let sent_at = Instant::now();
                let call = call();
                calls.spawn_local(async move { (sent_at, call.await) });
            }
            Some(Ok((sent_at, answer))) = calls.join_next() => match answer {
                Ok(answer) => {
                    let silence = sent_at - began;
                    if silence >= OUTAGE_THRESHOLD {
                        info!("store answers the leader again", kv: { silence_ms = silence.as_millis() as u64 });
                        recovered.send_replace(sent_at);
                    }
                    return answer;
                }
                Err(error) => debug!("lease of the leader's key not renewed, retrying", kv: { error: }),
            }
        }
    }
}
