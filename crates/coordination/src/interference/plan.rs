//! Plans the shares that allow the most batch work within the slowdown limits.

/// A task for which a share is planned.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Candidate {
    /// The processor time that it uses unthrottled, in thousandths of a core.
    pub(super) cores: f64,
    /// The relative slowdown that it causes to each service unthrottled. A
    /// sampled strength may make it slightly negative.
    pub(super) slowdowns: Vec<f64>,
}

/// Returns a share for each candidate such that the slowdown of each service is
/// within its budget, or all candidates that slow it down are at the floor.
///
/// All shares start at 1. For each service above its budget, the shares of the
/// candidates with the most slowdown per core are reduced first. This greedy
/// order is optimal for a single service.
pub(super) fn shares(candidates: &[Candidate], budgets: &[f64], floor: f64) -> Vec<f64> {
    let mut shares = vec![1.0; candidates.len()];
    for (service, budget) in budgets.iter().enumerate() {
        let mut order: Vec<usize> = (0..candidates.len()).collect();
        let per_core = |index: &usize| {
            let candidate = &candidates[*index];
            candidate.slowdowns[service] / candidate.cores.max(1e-9)
        };
        order.sort_by(|a, b| per_core(b).total_cmp(&per_core(a)));
        let mut excess = total_slowdown(candidates, &shares, service) - budget;
        for index in order {
            let slowdown = candidates[index].slowdowns[service];
            if excess <= 0.0 || slowdown <= 0.0 {
                break;
            }
            let reduction = (excess / slowdown).min(shares[index] - floor).max(0.0);
            shares[index] -= reduction;
            excess -= reduction * slowdown;
        }
    }
    shares
}

/// Returns the total slowdown of one service at these shares.
pub(super) fn total_slowdown(candidates: &[Candidate], shares: &[f64], service: usize) -> f64 {
    candidates
        .iter()
        .zip(shares)
        .map(|(candidate, share)| candidate.slowdowns[service] * share)
        .sum()
}
