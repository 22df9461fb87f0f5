//! Finds queues that no request reaches.

use {
    super::{report, Draft, Finding, Problem, Queue, Subject},
    std::collections::BTreeMap,
};

/// Number of hexadecimal digits in the identifier of a job, which follows the prefix.
const ID_DIGITS: usize = 16;

/// Reports queues whose host or prefix no request has, and queues that others hide.
pub(super) fn check(draft: &Draft, findings: &mut Vec<Finding>) {
    let mut by_host: BTreeMap<String, Vec<&Queue>> = BTreeMap::new();
    for queue in &draft.queues {
        check_form(queue, findings);
        let host = queue.host.to_ascii_lowercase();
        by_host.entry(host).or_default().push(queue);
    }
    for queues in by_host.values_mut() {
        check_host(queues, findings);
    }
}

fn check_form(queue: &Queue, findings: &mut Vec<Finding>) {
    let subject = || Subject::Queue(queue.name.clone());
    let is_separator = |letter: char| letter.is_whitespace() || letter.is_control();
    if queue.host.is_empty() || queue.host.contains(is_separator) || queue.host.contains([':', '/'])
    {
        let host = queue.host.clone();
        report(findings, subject(), Problem::ImpossibleHost { host });
    }
    let prefix = &queue.prefix;
    if !prefix.starts_with('/') || prefix.contains(is_separator) || prefix.contains(['?', '#']) {
        let prefix = prefix.clone();
        report(findings, subject(), Problem::ImpossiblePrefix { prefix });
    }
}

/// Checks the queues of one host. Sorted by prefix, those that begin with a prefix
/// follow it directly, so that thousands of queues are checked in one pass.
fn check_host(queues: &mut [&Queue], findings: &mut Vec<Finding>) {
    queues.sort_by_key(|queue| &queue.prefix);
    for (index, queue) in queues.iter().enumerate() {
        let longer = queues[index + 1..]
            .iter()
            .map_while(|other| Some((other, other.prefix.strip_prefix(&*queue.prefix)?)));
        for (other, rest) in longer {
            if rest.is_empty() {
                if queue.name != other.name {
                    let subject = Subject::Queue(other.name.clone());
                    let other = queue.name.clone();
                    report(findings, subject, Problem::SameRoute { other });
                }
            } else if rest.len() <= ID_DIGITS && rest.chars().all(|digit| digit.is_ascii_hexdigit())
            {
                let problem = Problem::PartlyHidden {
                    other: other.name.clone(),
                    digits: rest.into(),
                };
                report(findings, Subject::Queue(queue.name.clone()), problem);
            }
        }
    }
}
