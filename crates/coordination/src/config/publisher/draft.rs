//! Computes the revision that a publish writes.

use {
    super::{Intent, Request},
    crate::{
        config::{
            codec::{self, Archive},
            key, Difference, Edit,
        },
        store::Version,
    },
    filbertbend_state::{
        config::{Change, Manifest, Segment},
        id,
        service::Declaration,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Maximum number of changes in the manifest. Older ones move to an [`Archive`].
pub(super) const AUDIT_INLINE_CHANGES: usize = 64;

/// Number of changes that stay in the manifest when older ones move, so that a
/// move happens once in 32 publishes.
const AUDIT_KEPT_CHANGES: usize = 32;

/// Maximum bytes of encoded changes in the manifest. Changes with long summaries
/// move before [`AUDIT_INLINE_CHANGES`] is reached.
const AUDIT_INLINE_BYTES: usize = 256 * 1024;

/// Maximum number of archives that the manifest refers to. When the list is
/// full, it moves into the next archive, so that the manifest does not grow
/// without bound.
const ARCHIVES_LIMIT: usize = 64;

/// The configuration in force when a publish starts.
#[derive(Clone, Debug, Default)]
pub(super) struct Base {
    /// The version of the manifest in the store, or `None` if there is none.
    pub(super) version: Option<Version>,
    /// The manifest, or an empty one if there is none.
    pub(super) manifest: Manifest,
    /// The keys of all segments that the manifest refers to.
    pub(super) named: BTreeSet<Arc<str>>,
    /// The services in force, by segment key.
    pub(super) services: BTreeMap<Arc<str>, Declaration>,
    /// Keys of segments that neither this manifest nor any later one refers to.
    pub(super) orphans: Vec<Arc<str>>,
}

impl Base {
    pub(super) fn new(version: Version, manifest: Manifest) -> Self {
        Self {
            version: Some(version),
            named: manifest
                .segments
                .iter()
                .map(|segment| segment.key.clone())
                .collect(),
            manifest,
            ..Self::default()
        }
    }
}

/// A value that must be written before the manifest that refers to it.
#[derive(Clone, Debug)]
pub(super) struct Write {
    pub(super) key: Arc<str>,
    pub(super) value: Vec<u8>,
    /// Whether an earlier try may have written the value.
    pub(super) ambiguous: bool,
}

/// All values that a publish writes, computed before the first write.
#[derive(Clone, Debug)]
pub(super) struct Draft {
    pub(super) base_version: Option<Version>,
    pub(super) base_revision: id::Revision,
    pub(super) manifest: Manifest,
    pub(super) change: Change,
    pub(super) difference: Difference,
    pub(super) writes: Vec<Write>,
    pub(super) replaced: Vec<Arc<str>>,
}

impl Draft {
    /// Computes the next revision. Its difference is empty if the request changes
    /// nothing.
    pub(super) fn new(
        request: &Request,
        base: Base,
        mut nonce: impl FnMut() -> id::Nonce,
    ) -> Result<Self, codec::Error> {
        let revision = base.manifest.revision.next();
        let mut manifest = base.manifest.clone();
        manifest.revision = revision;
        let mut writes = Vec::new();
        let difference = match &request.intent {
            Intent::Services(services) => {
                let next = NextServices::new(&base, services);
                manifest.segments = next.segments(revision, &mut nonce, &mut writes)?;
                Difference::of_services(base.services.values(), next.services())
            }
            Intent::Drain(endpoint) => drain(&mut manifest, endpoint),
            Intent::Undrain(endpoint) => undrain(&mut manifest, endpoint),
        };
        let change = Change {
            from: base.manifest.revision,
            to: revision,
            nonce: nonce(),
            author: request.author.clone(),
            at: request.at,
            summary: difference.summary(),
        };
        manifest.audit.push(change.clone());
        archive_audit(&mut manifest, &mut nonce, &mut writes)?;
        codec::encode(&manifest)?;
        Ok(Self {
            base_version: base.version,
            base_revision: base.manifest.revision,
            replaced: replaced(&base, &manifest),
            manifest,
            change,
            difference,
            writes,
        })
    }

    /// Changes the key of a value from `old` to `new`. Must be called before the
    /// manifest is written.
    pub(super) fn rename(&mut self, old: &Arc<str>, new: &Arc<str>) {
        let segments = self.manifest.segments.iter_mut();
        let keys = segments
            .map(|segment| &mut segment.key)
            .chain(self.manifest.audit_segments.iter_mut());
        for key in keys.filter(|key| *key == old) {
            *key = new.clone();
        }
        for write in self.writes.iter_mut().filter(|write| write.key == *old) {
            write.key = new.clone();
        }
    }
}

/// The services after a publish, each with the key of its segment if it is
/// unchanged.
struct NextServices<'a> {
    services: BTreeMap<&'a id::Service, (&'a Declaration, Option<&'a Arc<str>>)>,
}

impl<'a> NextServices<'a> {
    fn new(base: &'a Base, declared: &'a [Declaration]) -> Self {
        let in_force: BTreeMap<_, _> = base
            .services
            .iter()
            .map(|(key, service)| (&service.name, (service, key)))
            .collect();
        let mut services = BTreeMap::new();
        for service in declared {
            let unchanged = match in_force.get(&service.name) {
                Some((found, key)) if *found == service => Some(*key),
                _ => None,
            };
            services.insert(&service.name, (service, unchanged));
        }
        Self { services }
    }

    fn services(&self) -> impl Iterator<Item = &'a Declaration> + '_ {
        self.services.values().map(|(service, _)| *service)
    }

    fn segments(
        &self,
        revision: id::Revision,
        nonce: &mut impl FnMut() -> id::Nonce,
        writes: &mut Vec<Write>,
    ) -> Result<Vec<Segment>, codec::Error> {
        let mut segments = Vec::with_capacity(self.services.len());
        for (name, (service, unchanged)) in &self.services {
            let key = match unchanged {
                Some(key) => (*key).clone(),
                None => {
                    let key = key::segment(revision, nonce());
                    writes.push(Write {
                        key: key.clone(),
                        value: codec::encode(service)?,
                        ambiguous: false,
                    });
                    key
                }
            };
            segments.push(Segment {
                service: (*name).clone(),
                key,
            });
        }
        Ok(segments)
    }
}

fn drain(manifest: &mut Manifest, endpoint: &id::Endpoint) -> Difference {
    if manifest.drains.contains(endpoint) {
        return Difference::default();
    }
    manifest.drains.push(endpoint.clone());
    manifest.drains.sort();
    let endpoint = endpoint.clone();
    Difference {
        edits: vec![Edit::Drain { endpoint }],
    }
}

fn undrain(manifest: &mut Manifest, endpoint: &id::Endpoint) -> Difference {
    if !manifest.drains.contains(endpoint) {
        return Difference::default();
    }
    manifest.drains.retain(|drained| drained != endpoint);
    let endpoint = endpoint.clone();
    Difference {
        edits: vec![Edit::Undrain { endpoint }],
    }
}

/// Moves older changes from the manifest to an archive if the manifest holds too
/// many.
fn archive_audit(
    manifest: &mut Manifest,
    nonce: &mut impl FnMut() -> id::Nonce,
    writes: &mut Vec<Write>,
) -> Result<(), codec::Error> {
    let bytes = codec::encode(&manifest.audit)?.len();
    if manifest.audit.len() <= AUDIT_INLINE_CHANGES && bytes <= AUDIT_INLINE_BYTES {
        return Ok(());
    }
    let kept = AUDIT_KEPT_CHANGES.min(manifest.audit.len() / 2).max(1);
    let moved = manifest.audit.len() - kept;
    let older = match manifest.audit_segments.len() >= ARCHIVES_LIMIT {
        true => std::mem::take(&mut manifest.audit_segments),
        false => Vec::new(),
    };
    let archive = Archive {
        older,
        changes: manifest.audit.drain(..moved).collect(),
    };
    let key = key::audit(manifest.revision, nonce());
    writes.push(Write {
        key: key.clone(),
        value: codec::encode(&archive)?,
        ambiguous: false,
    });
    manifest.audit_segments.push(key);
    Ok(())
}

/// Returns the keys of the segments that are unreferenced once `manifest` is in
/// force.
fn replaced(base: &Base, manifest: &Manifest) -> Vec<Arc<str>> {
    let named: BTreeSet<&Arc<str>> = manifest
        .segments
        .iter()
        .map(|segment| &segment.key)
        .collect();
    base.manifest
        .segments
        .iter()
        .map(|segment| &segment.key)
        .filter(|key| !named.contains(key))
        .chain(&base.orphans)
        .cloned()
        .collect()
}
