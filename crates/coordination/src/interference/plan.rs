//! Chooses the shares that give the most batch work within the limits.

/// One task in the plan.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Candidate {
    /// The cores that it takes unthrottled.
    pub(super) cores: f64,
    /// The part by which it raises each service's latency, unthrottled; a
    /// drawn strength may make it slightly negative.
    pub(super) slowdowns: Vec<f64>,
}

/// Returns a share for each candidate such that for each service the harm is
/// within its budget, or all harmful candidates are at the floor.
///
/// All start at full. For each service over its budget, the candidates with the
/// most harm for each core are lowered first; for one service that is optimal.
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

/// Returns the harm to one service at these shares.
pub(super) fn total_slowdown(candidates: &[Candidate], shares: &[f64], service: usize) -> f64 {
    candidates
        .iter()
        .zip(shares)
        .map(|(candidate, share)| candidate.slowdowns[service] * share)
        .sum()
}
