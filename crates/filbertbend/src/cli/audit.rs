//! The `audit` command, which shows who changed what and when.

use {
    super::{
        failure::{count, Failure},
        Printer,
    },
    chrono::{DateTime, SecondsFormat},
    filbertbend_coordination::{
        config::{codec, key},
        store::{Answer, Call, Pair},
    },
    filbertbend_state::{
        config::{Change, Manifest},
        id,
        time::Wall,
    },
    filbertbend_transport::store::Client,
    serde::Serialize,
    std::{io::Write, sync::Arc, time::Duration},
};

/// Number of times to try a read before reporting the store as unavailable.
const READ_TRIES: u32 = 5;

/// Delay between two tries of a read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// A published change in the form that commands print.
#[derive(Clone, Debug, Serialize)]
pub(super) struct AuditRecord {
    pub(super) from: id::Revision,
    pub(super) to: id::Revision,
    pub(super) author: Arc<str>,
    pub(super) at: String,
    pub(super) nonce: String,
    pub(super) summary: Vec<Arc<str>>,
}

impl From<Change> for AuditRecord {
    fn from(change: Change) -> Self {
        Self {
            from: change.from,
            to: change.to,
            author: change.author,
            at: format_time(change.at),
            nonce: change.nonce.to_string(),
            summary: change.summary,
        }
    }
}

/// The JSON output of `audit`.
#[derive(Serialize)]
struct Output {
    outcome: &'static str,
    revision: id::Revision,
    changes: Vec<AuditRecord>,
}

pub(super) async fn run<C: Client, O: Write, E: Write>(
    limit: usize,
    store: &C,
    printer: &mut Printer<O, E>,
) -> Result<(), Failure> {
    let manifest: Manifest = match read_with_retries(store, key::MANIFEST.into()).await? {
        Some(pair) => decode(pair)?,
        None => Manifest::default(),
    };
    let revision = manifest.revision;
    let changes = newest_changes(store, manifest, limit).await?;
    if changes.is_empty() {
        printer.text("Nothing was published yet.");
    }
    for change in &changes {
        printer.text(format!(
            "revision {} (from {})  {}  {}  {}",
            change.to,
            change.from,
            change.at,
            change.author,
            count(change.summary.len(), "change")
        ));
        for line in &change.summary {
            printer.text(format!("    {line}"));
        }
    }
    printer.json(&Output {
        outcome: "done",
        revision,
        changes,
    });
    Ok(())
}

/// Returns up to `limit` changes, newest first. Reads archives from the store
/// only if the manifest holds fewer changes than that.
async fn newest_changes<C: Client>(
    store: &C,
    manifest: Manifest,
    limit: usize,
) -> Result<Vec<AuditRecord>, Failure> {
    let mut changes = manifest.audit;
    changes.reverse();
    let mut archives = manifest.audit_segments;
    while changes.len() < limit {
        let Some(key) = archives.pop() else { break };
        let pair = read_with_retries(store, key.clone()).await?;
        let archive: codec::Archive = decode(pair.ok_or(Failure::MissingValue(key))?)?;
        // The archives that this one names are older than all remaining ones,
        // so they go to the front and are read last.
        archives.splice(0..0, archive.older);
        changes.extend(archive.changes.into_iter().rev());
    }
    changes.truncate(limit);
    Ok(changes.into_iter().map(AuditRecord::from).collect())
}

fn decode<T: serde::de::DeserializeOwned>(pair: Pair) -> Result<T, Failure> {
    let key = pair.key;
    codec::decode(&pair.value).map_err(|error| Failure::InvalidValue { key, error })
}

/// Reads a value from the store. Returns [`Failure::Unavailable`] after
/// [`READ_TRIES`] failed reads.
async fn read_with_retries<C: Client>(store: &C, key: Arc<str>) -> Result<Option<Pair>, Failure> {
    for _ in 0..READ_TRIES {
        if let Answer::Value(pair) = store.call(Call::Get { key: key.clone() }).await {
            return Ok(pair);
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    Err(Failure::Unavailable)
}

/// Formats a time as RFC 3339 in UTC, or as a number if it is out of range.
fn format_time(at: Wall) -> String {
    i64::try_from(at.0)
        .ok()
        .and_then(DateTime::from_timestamp_millis)
        .map_or_else(
            || at.to_string(),
            |time| time.to_rfc3339_opts(SecondsFormat::Secs, true),
        )
}
