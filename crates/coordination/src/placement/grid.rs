//! An index of the workers of one data centre by their free capacity.
//!
//! The free capacity of each resource is quantised into levels. The levels of a
//! worker select its cell, and a bit mask for each row of cells marks the
//! occupied ones, so the cost of a query depends on the number of levels and
//! not on the number of workers.

use filbertbend_state::{
    room::Room,
    unit::{Accelerators, Bytes, Cores},
};

/// Number of levels of processor time and of memory.
const LEVELS: usize = 32;

/// Number of levels of accelerators, one for each count. The highest level also
/// holds all larger counts.
const ACCELERATOR_LEVELS: usize = 17;

/// How many cells are searched for the best fit.
const BEST_CELLS: usize = 8;

/// How many workers are examined in one cell.
const WORKERS_PER_CELL: usize = 16;

/// How many workers are examined in all before a query gives up.
const WORKERS_LIMIT: usize = 512;

/// The position of a worker in the index.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Cell {
    accelerators: u8,
    cores: u8,
    memory: u8,
}

/// The index of one data centre.
#[derive(Debug)]
pub(super) struct Grid {
    /// The capacity that the highest levels stand for.
    scale: Room,
    /// For each accelerator level and core level, the occupied memory levels.
    masks: [[u32; LEVELS]; ACCELERATOR_LEVELS],
    /// For each accelerator level and core level, the workers by memory level.
    rows: Vec<Option<Box<[Vec<u32>; LEVELS]>>>,
}

impl Grid {
    pub(super) fn new(scale: Room) -> Self {
        Self {
            scale,
            masks: [[0; LEVELS]; ACCELERATOR_LEVELS],
            rows: (0..LEVELS * ACCELERATOR_LEVELS).map(|_| None).collect(),
        }
    }

    /// Returns the capacity that the highest levels stand for.
    pub(super) fn scale(&self) -> Room {
        self.scale
    }

    pub(super) fn cell(&self, free: &Room) -> Cell {
        let level = |free: u64, scale: u64| {
            let top = LEVELS as u64 - 1;
            (free * top).checked_div(scale).unwrap_or(0).min(top) as u8
        };
        Cell {
            accelerators: (free.accelerators.0 as usize).min(ACCELERATOR_LEVELS - 1) as u8,
            cores: level(free.cores.0, self.scale.cores.0),
            memory: level(free.memory.0, self.scale.memory.0),
        }
    }

    pub(super) fn insert(&mut self, cell: Cell, worker: u32) {
        let (a, c, m) = cell.indices();
        let row = self.rows[a * LEVELS + c].get_or_insert_with(Box::default);
        row[m].push(worker);
        self.masks[a][c] |= 1 << m;
    }

    pub(super) fn remove(&mut self, cell: Cell, worker: u32) {
        let (a, c, m) = cell.indices();
        let Some(row) = &mut self.rows[a * LEVELS + c] else {
            return;
        };
        if let Some(position) = row[m].iter().position(|found| *found == worker) {
            row[m].swap_remove(position);
        }
        if row[m].is_empty() {
            self.masks[a][c] &= !(1 << m);
        }
    }

    /// Returns the least free capacity that a worker in `cell` can have.
    fn lower_bound(&self, cell: Cell) -> Room {
        let top = LEVELS as u64 - 1;
        Room {
            cores: Cores(u64::from(cell.cores) * self.scale.cores.0 / top),
            memory: Bytes(u64::from(cell.memory) * self.scale.memory.0 / top),
            accelerators: Accelerators(cell.accelerators.into()),
        }
    }

    /// Returns the worker with the lowest score among those in the cells that
    /// fit `need` best. `score` returns `None` for a worker that is not
    /// eligible.
    pub(super) fn best_fit(
        &self,
        need: &Room,
        score: impl Fn(u32) -> Option<f64>,
    ) -> Option<(f64, u32)> {
        let low = self.cell(need);
        let mut budget = WORKERS_LIMIT;
        let mut best: Option<(f64, u32)> = None;
        for (_, cell) in self.best_cells(low, need).into_iter().flatten() {
            let (a, c, m) = cell.indices();
            let Some(row) = &self.rows[a * LEVELS + c] else {
                continue;
            };
            budget = budget.saturating_sub(row[m].len().min(WORKERS_PER_CELL));
            let workers = row[m].iter().rev().take(WORKERS_PER_CELL);
            keep_best(&mut best, workers, &score);
        }
        best.or_else(|| self.first_fit(low, budget, score))
    }

    /// Returns the occupied cells that fit `need` best, in order of the fit.
    fn best_cells(&self, low: Cell, need: &Room) -> [Option<(f64, Cell)>; BEST_CELLS] {
        let mut best = [None; BEST_CELLS];
        let (low_a, low_c, low_m) = low.indices();
        for a in low_a..ACCELERATOR_LEVELS {
            for c in low_c..LEVELS {
                let mask = self.masks[a][c] >> low_m << low_m;
                // The memory level at which as many levels of memory as of
                // processor time are left over.
                let balanced = (low_m + c - low_c).min(LEVELS - 1);
                for m in nearest_levels(mask, balanced).into_iter().flatten() {
                    let cell = Cell {
                        accelerators: a as u8,
                        cores: c as u8,
                        memory: m,
                    };
                    let score = waste(&self.lower_bound(cell), need, &self.scale);
                    insert_sorted(&mut best, (score, cell));
                }
            }
        }
        best
    }

    /// Returns the best worker of the first cell with an eligible one. The
    /// search covers all cells until `budget` workers have been examined. It
    /// begins with the highest levels, where a fit is certain.
    fn first_fit(
        &self,
        low: Cell,
        mut budget: usize,
        score: impl Fn(u32) -> Option<f64>,
    ) -> Option<(f64, u32)> {
        let (low_a, low_c, low_m) = low.indices();
        for a in low_a..ACCELERATOR_LEVELS {
            for c in (low_c..LEVELS).rev() {
                let mut mask = self.masks[a][c] >> low_m << low_m;
                while mask != 0 {
                    let m = (u32::BITS - 1 - mask.leading_zeros()) as usize;
                    mask &= !(1 << m);
                    let Some(row) = &self.rows[a * LEVELS + c] else {
                        continue;
                    };
                    let mut best = None;
                    keep_best(&mut best, row[m].iter().take(budget), &score);
                    budget = budget.saturating_sub(row[m].len());
                    if best.is_some() || budget == 0 {
                        return best;
                    }
                }
            }
        }
        None
    }
}

impl Cell {
    fn indices(self) -> (usize, usize, usize) {
        (
            self.accelerators.into(),
            self.cores.into(),
            self.memory.into(),
        )
    }
}

/// Returns the two nearest occupied levels from `balanced` up and the two
/// nearest below it. One each would not do, because the workers at the nearest
/// level may be slightly too small.
fn nearest_levels(mask: u32, balanced: usize) -> [Option<u8>; 4] {
    let mut levels = [None; 4];
    let mut above = mask >> balanced << balanced;
    let mut below = mask & !above;
    for pair in levels.chunks_exact_mut(2) {
        if above != 0 {
            pair[0] = Some(above.trailing_zeros() as u8);
            above &= above - 1;
        }
        if below != 0 {
            let level = u32::BITS - 1 - below.leading_zeros();
            pair[1] = Some(level as u8);
            below &= !(1 << level);
        }
    }
    levels
}

/// Updates `best` with the lowest-scoring worker of `workers`.
fn keep_best<'a>(
    best: &mut Option<(f64, u32)>,
    workers: impl Iterator<Item = &'a u32>,
    score: &impl Fn(u32) -> Option<f64>,
) {
    for worker in workers {
        let Some(found) = score(*worker) else {
            continue;
        };
        if best.is_none_or(|(known, _)| found < known) {
            *best = Some((found, *worker));
        }
    }
}

/// Inserts an item into a list sorted by score and drops the worst item.
fn insert_sorted(best: &mut [Option<(f64, Cell)>; BEST_CELLS], item: (f64, Cell)) {
    let worse = |found: &Option<(f64, Cell)>| found.is_none_or(|found| found.0 > item.0);
    let Some(position) = best.iter().position(worse) else {
        return;
    };
    best[position..].rotate_right(1);
    best[position] = Some(item);
}

/// The weight of unused accelerators relative to processor time and memory.
/// Accelerators are the scarcest resource, so tasks that need none are kept off
/// workers that have them.
const ACCELERATOR_WEIGHT: f64 = 4.0;

/// The weight of an imbalance between the unused processor time and memory. Few
/// tasks fit into processor time without memory, or the reverse.
const IMBALANCE_WEIGHT: f64 = 2.0;

/// Returns the sum of the fractions of `scale` that a size takes. Tasks are
/// ordered by it, because those that need much of several resources are the
/// hardest to place.
pub(super) fn total_share(size: &Room, scale: &Room) -> f64 {
    let part = |size: u64, scale: u64| size as f64 / scale.max(1) as f64;
    part(size.cores.0, scale.cores.0)
        + part(size.memory.0, scale.memory.0)
        + part(size.accelerators.0.into(), scale.accelerators.0.into())
}

/// Returns a score of how much free capacity would be left over and how
/// unbalanced it would be. A lower score is a better fit.
pub(super) fn waste(free: &Room, need: &Room, scale: &Room) -> f64 {
    let left =
        |free: u64, need: u64, scale: u64| free.saturating_sub(need) as f64 / scale.max(1) as f64;
    let cores = left(free.cores.0, need.cores.0, scale.cores.0);
    let memory = left(free.memory.0, need.memory.0, scale.memory.0);
    let accelerators = left(
        free.accelerators.0.into(),
        need.accelerators.0.into(),
        scale.accelerators.0.into(),
    );
    cores + memory + ACCELERATOR_WEIGHT * accelerators + IMBALANCE_WEIGHT * (cores - memory).abs()
}
