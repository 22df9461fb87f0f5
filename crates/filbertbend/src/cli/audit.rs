//! `audit`: shows who changed what and when.

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

/// Tries of one read before the store counts as unavailable.
const TRIES: u32 = 5;

/// The pause between tries.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// One change as it is shown.
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

/// Reads the newest changes, newest first, from the manifest and as many
/// archives as are needed.
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
        // The archive's own list is older than every key that is left.
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

async fn read_with_retries<C: Client>(store: &C, key: Arc<str>) -> Result<Option<Pair>, Failure> {
    for _ in 0..TRIES {
        if let Answer::Value(pair) = store.call(Call::Get { key: key.clone() }).await {
            return Ok(pair);
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    Err(Failure::Unavailable)
}

/// Writes a time in UTC.
fn format_time(at: Wall) -> String {
    i64::try_from(at.0)
        .ok()
        .and_then(DateTime::from_timestamp_millis)
        .map_or_else(
            || at.to_string(),
            |time| time.to_rfc3339_opts(SecondsFormat::Secs, true),
        )
}
