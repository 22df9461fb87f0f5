//! Rebuilds an owner from the durable state of its slice.

use {
    super::{
        lease_end,
        order::idempotency_key,
        state::{Live, Timer},
        Authority, Context, Image, Owner, Ticket, LEASE, RETENTION,
    },
    crate::{
        attempt::Attempt,
        placement::{Planner, Running},
    },
    filbertbend_state::{
        id,
        time::{Instant, Wall},
        unit::Millis,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// The input from which a new owner is rebuilt.
#[derive(Debug)]
pub struct Recovery {
    /// The slice to own.
    pub slice: id::Slice,
    /// The durable state, read after the new owner's epoch record was durable.
    pub image: Image,
    /// The current wall-clock time.
    pub wall: Wall,
    /// The time limits on the new owner's grants.
    pub authority: Authority,
    /// When the new owner claimed the slice, counted from the store's answer.
    pub claimed_at: Instant,
    /// How long after the claim leases granted by a former owner may last: the
    /// ownership horizon, or the shorter time recorded in a graceful hand-over.
    pub former_lease_remaining: Millis,
}

impl Owner {
    /// Creates the owner of a slice without any prior state.
    pub fn new(slice: id::Slice, wall: Wall, authority: Authority) -> Self {
        Self {
            slice,
            image: Image::default(),
            authority,
            former_leases_until: Instant::default(),
            lost: false,
            store_available: true,
            wall,
            ticket: Ticket::default(),
            writes: BTreeMap::new(),
            submitting: BTreeMap::new(),
            open: BTreeMap::new(),
            live: BTreeMap::new(),
            by_worker: BTreeMap::new(),
            agents: BTreeMap::new(),
            keys: BTreeMap::new(),
            customers: BTreeMap::new(),
            ready: BTreeSet::new(),
            chunks: BTreeMap::new(),
            reads: BTreeMap::new(),
            fetches: BTreeMap::new(),
            timers: BTreeSet::new(),
        }
    }

    /// Creates the owner of a slice from the durable state of former owners.
    ///
    /// Every attempt that they placed is treated as possibly running until its
    /// agent reports otherwise or any lease that they may have granted has
    /// expired. The caller must report every known agent next, with
    /// [`Event::AgentConnected`](super::Event::AgentConnected).
    pub fn recover(
        now: Instant,
        recovery: Recovery,
        planner: &mut Planner,
        actions: &mut Vec<super::Action>,
    ) -> Self {
        let mut owner = Self::new(recovery.slice, recovery.wall, recovery.authority);
        owner.former_leases_until = lease_end(recovery.claimed_at, recovery.former_lease_remaining);
        owner.image = recovery.image;
        let cx = &mut Context {
            now,
            planner,
            actions,
        };
        let jobs: Vec<id::Job> = owner.image.jobs().map(|(job, _)| job).collect();
        for job in jobs {
            owner.recover_job(cx, job);
        }
        owner.complete_interrupted(cx);
        owner.dispatch_orders(cx);
        owner
    }

    fn recover_job(&mut self, cx: &mut Context<'_>, id: id::Job) {
        let Some(job) = self.image.job(id) else {
            return;
        };
        let spec = std::sync::Arc::clone(&job.spec);
        let end = job.end.clone();
        if let Some(order) = &spec.order {
            self.recover_key(id, idempotency_key(&spec, order));
        }
        if let Some(end) = end {
            let at = self.instant(cx.now, end.at + RETENTION);
            self.timers.insert((at, Timer::Forget(id)));
            return;
        }
        let open = self.open_job(cx.now, id, &spec);
        self.open.insert(id, open);
        if let Some(order) = &spec.order {
            self.customers
                .entry(order.customer.clone())
                .or_default()
                .insert(order.sequence, id);
            self.ready.insert(order.customer.clone());
        }
        for index in 0..spec.tasks {
            let task = id::Task { job: id, index };
            if !self.recover_task(cx, task) {
                self.enqueue(cx, task);
            }
        }
    }

    /// Maps an idempotency key to the newest order that was submitted with it.
    fn recover_key(&mut self, id: id::Job, key: super::state::IdempotencyKey) {
        let accepted = |job: id::Job| {
            self.image
                .job(job)
                .map(|job| (job.end.is_none(), job.accepted_at))
        };
        let newer = self
            .keys
            .get(&key)
            .is_none_or(|known| accepted(*known) <= accepted(id));
        if newer {
            self.keys.insert(key, id);
        }
    }

    /// Restores the current attempt of a task. Returns false if it has none.
    fn recover_task(&mut self, cx: &mut Context<'_>, task: id::Task) -> bool {
        let (Some(found), Some(job)) = (self.image.task(task), self.image.job(task.job)) else {
            return false;
        };
        let Some(current) = &found.current else {
            return false;
        };
        if job.spec.order.is_none() {
            cx.planner.restore_task(
                cx.now,
                Running {
                    slice: self.slice,
                    task,
                    worker: current.worker.clone(),
                    team: job.spec.team.clone(),
                    service: job.spec.service.clone(),
                    class: job.spec.class,
                    size: current.size,
                    run_time: job.spec.run_time,
                },
            );
        }
        let attempt = Attempt {
            task,
            number: found.attempt,
        };
        let live = Live {
            attempt,
            worker: current.worker.clone(),
            incarnation: current.incarnation,
            placement_pending: false,
            may_run: true,
            lease_end: self.former_leases_until.max(lease_end(cx.now, LEASE)),
            end_pending: false,
            start_resend_at: cx.now,
            start_give_up_at: cx.now,
            evicting: None,
            cancel_resend_at: None,
            withdraw_resend_at: None,
            checkpoint: None,
            storing: None,
            timer: None,
        };
        self.insert_live(live);
        self.arm_task(cx.now, task);
        true
    }
}
