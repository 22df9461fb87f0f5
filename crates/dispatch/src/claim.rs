//! Claims the next term and reads the stored state that it starts from.

use {
    crate::{
        journal::encode,
        key,
        platform::{Commit, Failure, Item, Lease, Revision, Store, Transaction},
        term::Candidate,
    },
    filbertbend_state::{time::Instant, unit::Cores},
    filbertbend_transport::clock,
    filbertbend_workload::{
        id::Epoch,
        leadership,
        record::{Leader, Term},
    },
    spdlog::prelude::*,
    std::{net::SocketAddr, time::Duration},
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
    /// See [`Leader::former`].
    pub(crate) former: Option<SocketAddr>,
}

/// Decodes a stored term, also one of an earlier version.
pub(crate) fn decode_term(item: &Item) -> Result<Term, postcard::Error> {
    postcard::from_bytes(&Term::complete(item.value.clone()))
}

/// Returns the epoch of a record if it can be used. Another writer may have changed it, and
/// an epoch that is lost would make workers refuse the next leader's fences, so
/// the epoch is stored in two records.
fn checked_epoch(item: &Item, decoded: Result<Epoch, postcard::Error>) -> Option<Epoch> {
    match decoded {
        Ok(epoch) if epoch <= Epoch::MAX => Some(epoch),
        Ok(epoch) => {
            error!("epoch out of range", kv: { key: = &*item.key, epoch = epoch.0 });
            None
        }
        Err(error) => {
            error!("epoch cannot be decoded", kv: { key: = &*item.key, error: });
            None
        }
    }
}

/// What the store holds of the last term. A claim that is based on it fails if
/// its leader has written since.
pub(crate) struct Prior {
    epoch: Epoch,
    /// The revision of the last leader's last write, or 0 if there was none.
    revision: Revision,
    /// See [`Leader::former`].
    former: Option<SocketAddr>,
    /// The processor time of the last leader, if it is known.
    pub(crate) processor: Option<Cores>,
}

impl Prior {
    /// Reads the last term, with retries until the store has answered.
    pub(crate) async fn load(store: &impl Store) -> Self {
        loop {
            match Self::read(store).await {
                Ok(prior) => return prior,
                Err(error) => {
                    info!("last term not read, retrying", kv: { error: });
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    async fn read(store: &impl Store) -> Result<Self, Failure> {
        let (stored, newest) = tokio::join!(store.get(key::TERM), store.get(key::EPOCH));
        let (stored, newest) = (stored?, newest?);
        let term = stored.as_ref().and_then(|item| decode_term(item).ok());
        let revision = stored.as_ref().map_or(Revision(0), |item| item.revision);
        let epoch = stored
            .and_then(|item| checked_epoch(&item, decode_term(&item).map(|term| term.epoch)))
            .max(newest.and_then(|item| checked_epoch(&item, postcard::from_bytes(&item.value))))
            .unwrap_or_default();
        Ok(Self {
            epoch,
            revision,
            former: term.as_ref().and_then(former_address),
            processor: term.and_then(|term| term.processor),
        })
    }

    /// Returns whether an entry has led before.
    pub(crate) fn exists(&self) -> bool {
        self.revision != Revision(0)
    }
}

/// Claims the next term. Returns `None` if another entry leads.
pub(crate) async fn claim(
    store: &impl Store,
    candidate: &Candidate,
    prior: &Prior,
) -> Result<Option<Claim>, Failure> {
    let &Prior {
        epoch: last,
        revision,
        former,
        ..
    } = prior;
    let term = Term {
        epoch: last.next(),
        batch: 0,
        node: candidate.node.clone(),
        address: candidate.address,
        settled: false,
        processor: Some(candidate.processor),
    };
    let leader = Leader {
        epoch: term.epoch,
        node: candidate.node.clone(),
        address: candidate.address,
        former,
    };
    let sent_at = clock::monotonic();
    let lease = store.grant(leadership::KEY_TTL).await?;
    let mut transaction = Transaction {
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
    let mut committed = store.commit(&transaction).await?;
    if let Some(unreadable) = unreadable_leader(&committed) {
        warn!("leader's key cannot be decoded, replacing it", kv: { revision = unreadable.0 });
        transaction.expect = vec![
            (key::TERM.into(), revision),
            (key::LEADER.into(), unreadable),
        ];
        committed = store.commit(&transaction).await?;
    }
    match committed {
        Commit::Done(revision) => Ok(Some(Claim {
            term,
            revision,
            lease,
            sent_at,
            former,
        })),
        Commit::Conflict(_) | Commit::LeaseNotFound => Ok(None),
    }
}

/// Returns the address of the last leader, if leases of earlier ones are over.
fn former_address(term: &Term) -> Option<SocketAddr> {
    term.settled.then_some(term.address)
}

/// Returns the revision of a leader's key that names no leader. It may be bound
/// to no lease, so that it would prevent all claims for good.
fn unreadable_leader(committed: &Commit) -> Option<Revision> {
    let Commit::Conflict(items) = committed else {
        return None;
    };
    items
        .iter()
        .find(|item| {
            *item.key == *key::LEADER && postcard::from_bytes::<Leader>(&item.value).is_err()
        })
        .map(|item| item.revision)
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
