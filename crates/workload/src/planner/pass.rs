//! What a placement pass has found out about the workers, so that a step that
//! cannot be placed does not cost an examination of all of them.

use {
    super::{drain::Drain, hold::Holds, place::Requirements},
    crate::id::Node,
    filbertbend_state::{room::Room, time::Instant, unit::Millis},
    std::{collections::BTreeMap, sync::Arc},
};

/// The findings of one placement pass.
#[derive(Default)]
pub(super) struct Pass {
    now: Instant,
    /// The requirements that no worker met; none covers another.
    rejections: Vec<Rejection>,
    bounds: Vec<Bound>,
    /// The used fraction of pools since reservations last changed.
    used_fractions: Vec<(Arc<str>, f64)>,
    /// The workers that are held for steps.
    pub(super) holds: Holds,
    /// What becomes free on each worker, once it has been asked for.
    pub(super) drains: Option<BTreeMap<Node, Drain>>,
}

/// Requirements that no worker met; a task that requires at least as much is
/// not searched for again.
#[derive(Clone, Debug)]
pub(super) struct Rejection {
    /// When no worker was found.
    since: Instant,
    best_effort: bool,
    pool: Arc<str>,
    image: Option<Arc<str>>,
    room: Room,
    any_place: bool,
}

/// An upper bound of what workers with the same pool and label offer. Starts
/// reserve resources, so the bound holds until some are released.
struct Bound {
    pool: Arc<str>,
    label: Option<Arc<str>>,
    /// The priority of the tasks that may preempt others; `None` if nothing is
    /// preempted.
    preempting: Option<u8>,
    /// What the workers offer, without those that offer less than another.
    offers: Vec<Offer>,
    /// Whether resources have been reserved since, so that a new bound may be
    /// lower.
    stale: bool,
}

/// What a worker offers to a task.
#[derive(Clone, Copy)]
pub(super) struct Offer {
    pub(super) room: Room,
    pub(super) idle_cores: f64,
}

/// How long best-effort tasks that found no worker are not searched for again.
/// What they wait for changes with the readings of services.
const BEST_EFFORT_RETRY_INTERVAL: Millis = Millis(150);

impl Pass {
    /// Begins a pass that keeps the recent rejections of best-effort tasks.
    pub(super) fn new(now: Instant, mut rejections: Vec<Rejection>, holds: Holds) -> Self {
        rejections.retain(|rejection| {
            rejection.best_effort && now < rejection.since + BEST_EFFORT_RETRY_INTERVAL
        });
        Self {
            now,
            rejections,
            holds,
            ..Self::default()
        }
    }

    /// Returns the rejections, for the next pass.
    pub(super) fn into_rejections(self) -> Vec<Rejection> {
        self.rejections
    }

    /// Returns whether a task requires at least as much as one that found no
    /// worker in this pass.
    pub(super) fn is_rejected(&self, requirements: &Requirements<'_>) -> bool {
        let wanted = Rejection::from(requirements);
        self.rejections
            .iter()
            .any(|rejection| rejection.covers(&wanted))
    }

    /// Records that no worker met the requirements.
    pub(super) fn reject(&mut self, requirements: &Requirements<'_>) {
        // A failed search with further constraints says nothing about other
        // tasks.
        let placement = &requirements.step.placement;
        if requirements.avoid.is_none()
            && !requirements.isolated
            && placement.label.is_none()
            && placement.most_per_worker.is_none()
        {
            let new = Rejection {
                since: self.now,
                ..Rejection::from(requirements)
            };
            self.rejections.retain(|known| !new.covers(known));
            self.rejections.push(new);
        }
    }

    /// Returns whether certainly no worker has an acceptable offer.
    pub(super) fn is_excluded(
        &self,
        requirements: &Requirements<'_>,
        preempting: Option<u8>,
        is_acceptable: impl Fn(&Offer) -> bool,
    ) -> bool {
        self.bounds
            .iter()
            .find(|bound| bound.is_for(requirements, preempting))
            .is_some_and(|bound| !bound.offers.iter().any(is_acceptable))
    }

    /// Returns whether a new bound for such requirements may exclude more.
    pub(super) fn needs_bound(
        &self,
        requirements: &Requirements<'_>,
        preempting: Option<u8>,
    ) -> bool {
        self.bounds
            .iter()
            .find(|bound| bound.is_for(requirements, preempting))
            .is_none_or(|bound| bound.stale)
    }

    /// Records the offers of all workers that have the required pool and label.
    pub(super) fn bound(
        &mut self,
        requirements: &Requirements<'_>,
        preempting: Option<u8>,
        workers: impl Iterator<Item = Offer>,
    ) {
        let mut offers: Vec<Offer> = Vec::new();
        for offer in workers {
            if !offers.iter().any(|known| known.covers(&offer)) {
                offers.retain(|known| !offer.covers(known));
                offers.push(offer);
            }
        }
        self.bounds
            .retain(|bound| !bound.is_for(requirements, preempting));
        self.bounds.push(Bound {
            pool: requirements.pool.clone(),
            label: requirements.step.placement.label.clone(),
            preempting,
            offers,
            stale: false,
        });
    }

    /// Returns the used fraction of a pool, which `compute` finds out unless it
    /// is known.
    pub(super) fn used_fraction(&mut self, pool: &Arc<str>, compute: impl Fn() -> f64) -> f64 {
        if let Some((_, known)) = self.used_fractions.iter().find(|(known, _)| known == pool) {
            return *known;
        }
        let fraction = compute();
        self.used_fractions.push((pool.clone(), fraction));
        fraction
    }

    /// Takes into account that resources have been reserved.
    pub(super) fn reserved(&mut self) {
        self.used_fractions.clear();
        for bound in &mut self.bounds {
            bound.stale = true;
        }
    }

    /// Takes into account that resources may have been released.
    pub(super) fn released(&mut self) {
        self.used_fractions.clear();
        self.bounds.clear();
    }
}

impl From<&Requirements<'_>> for Rejection {
    fn from(requirements: &Requirements<'_>) -> Self {
        Self {
            since: Instant::default(),
            best_effort: requirements.step.mode.best_effort,
            pool: requirements.pool.clone(),
            image: requirements.step.image.clone(),
            room: requirements.step.room,
            any_place: requirements.any_place,
        }
    }
}

impl Rejection {
    /// Returns whether whatever meets `other` would also meet this.
    fn covers(&self, other: &Self) -> bool {
        other.room.fits(&self.room)
            && (self.any_place || !other.any_place)
            && self.pool == other.pool
            && self.image == other.image
            && self.best_effort == other.best_effort
    }
}

impl Bound {
    fn is_for(&self, requirements: &Requirements<'_>, preempting: Option<u8>) -> bool {
        self.preempting == preempting
            && self.pool == *requirements.pool
            && self.label == requirements.step.placement.label
    }
}

impl Offer {
    /// Returns whether every task that accepts `other` accepts this.
    fn covers(&self, other: &Self) -> bool {
        self.room.fits(&other.room) && self.idle_cores >= other.idle_cores
    }
}
