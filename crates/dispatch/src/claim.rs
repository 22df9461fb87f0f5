//! Claims the next term and reads the stored state that it starts from.

use {
    crate::{
        journal::encode,
        key,
        platform::{Commit, Failure, Item, Lease, Revision, Store, Transaction},
        term::Candidate,
    },
    filbertbend_state::time::Instant,
    filbertbend_transport::clock,
    filbertbend_workload::{
        id::Epoch,
        leadership,
        record::{Leader, Term},
    },
    spdlog::prelude::*,
    std::time::Duration,
    tokio::time::sleep,
};

/// Delay before a failed read of the stored state is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// A claim that succeeded.
pub(crate) struct Claim {
    pub(crate) term: Term,
    pub(crate) revision: Revision,
    pub(crate) lease: Lease,
    /// When the claim was sent.
    pub(crate) sent_at: Instant,
}

/// Claims the next term. Returns `None` if another entry leads.
pub(crate) async fn claim(
    store: &impl Store,
    candidate: &Candidate,
) -> Result<Option<Claim>, Failure> {
    let found = store.get(key::TERM).await?;
    let revision = found.as_ref().map_or(Revision(0), |item| item.revision);
    let last: Term = match &found {
        Some(item) => postcard::from_bytes(&item.value).unwrap_or_else(|error| {
            error!("term cannot be decoded", kv: { error: });
            Term::default()
        }),
        None => Term::default(),
    };
    let term = Term {
        epoch: Epoch(last.epoch.0 + 1),
        batch: 0,
        node: candidate.node.clone(),
    };
    let leader = Leader {
        epoch: term.epoch,
        node: candidate.node.clone(),
        address: candidate.address,
    };
    let sent_at = clock::monotonic();
    let lease = store.grant(leadership::KEY_TTL).await?;
    let transaction = Transaction {
        expect: vec![
            (key::TERM.into(), revision),
            (key::LEADER.into(), Revision(0)),
        ],
        set: vec![
            (key::TERM.into(), encode(&term), None),
            (key::EPOCH.into(), encode(&term.epoch), None),
            (key::LEADER.into(), encode(&leader), Some(lease)),
        ],
        remove: Vec::new(),
    };
    match store.commit(&transaction).await? {
        Commit::Done(revision) => Ok(Some(Claim {
            term,
            revision,
            lease,
            sent_at,
        })),
        Commit::Conflict(_) | Commit::LeaseNotFound => Ok(None),
    }
}

/// The stored state that a new leader starts from.
pub(crate) struct Snapshot {
    pub(crate) watched: Vec<Item>,
    pub(crate) progress: Vec<Item>,
    pub(crate) revision: Revision,
}

async fn read_snapshot(store: &impl Store) -> Result<Snapshot, Failure> {
    let (watched, revision) = store.list(key::WATCHED_PREFIX).await?;
    let (progress, _) = store.list(key::PROGRESS_PREFIX).await?;
    Ok(Snapshot {
        watched,
        progress,
        revision,
    })
}

/// Reads the stored state, with retries until the store has answered.
pub(crate) async fn load_snapshot<S: Store>(store: S) -> Snapshot {
    loop {
        match read_snapshot(&store).await {
            Ok(snapshot) => return snapshot,
            Err(error) => {
                warn!("stored state not loaded, retrying", kv: { error: });
                sleep(RETRY_DELAY).await;
            }
        }
    }
}
