//! Tests of what the check of a configuration finds.

use {
    filbertbend_state::unit::Millis,
    filbertbend_workload::review::{
        check,
        difference::{between, Edit},
        Draft, Limits, Problem, Queue,
    },
};

fn queue(name: &str, prefix: &str) -> Queue {
    Queue {
        name: name.into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        pool: "pool".into(),
        attempts: 1,
        timeout: Millis(3000),
        ..Queue::default()
    }
}

fn draft(queues: impl IntoIterator<Item = Queue>) -> Draft {
    Draft {
        version: 1,
        queues: queues.into_iter().collect(),
        pools: vec!["pool".into()],
        limits: Limits::default(),
    }
}

fn codes(draft: &Draft) -> Vec<(String, &'static str)> {
    let findings = check(draft);
    let code = |problem: &Problem| problem.into();
    let found = findings.iter();
    found
        .map(|finding| (finding.subject.to_string(), code(&finding.problem)))
        .collect()
}

/// Guards against queues whose jobs another queue silently takes.
#[test]
fn queues_that_hide_each_other_are_found() {
    let mut shouted = queue("b", "/p/");
    shouted.host = "A.Example".into();
    let draft = draft([
        queue("a", "/p/"),
        shouted,
        queue("c", "/q"),
        queue("d", "/qa0/"),
        queue("e", "/qa0"),
        queue("f", "/p/sub/"),
    ]);

    let found = codes(&draft);

    let expected = [
        ("queue b".to_owned(), "same-route"),
        ("queue c".to_owned(), "partly-hidden"),
    ];
    assert_eq!(found, expected);
}

/// Guards against two queues of one name, of which one disappears.
#[test]
fn repeated_name_is_one_finding() {
    let found = codes(&draft([queue("a", "/p/"), queue("a", "/p/")]));

    assert_eq!(found, [("queue a".to_owned(), "duplicate-name")]);
}

/// Guards against queues that no request can address.
#[test]
fn impossible_hosts_and_prefixes_are_found() {
    for (host, prefix, code) in [
        ("a.example:80", "/p/", "impossible-host"),
        ("", "/p/", "impossible-host"),
        ("a.example", "p/", "impossible-prefix"),
        ("a.example", "/p?x=", "impossible-prefix"),
    ] {
        let mut odd = queue("a", prefix);
        odd.host = host.into();

        assert_eq!(codes(&draft([odd])), [("queue a".to_owned(), code)]);
    }
}

/// Guards against jobs that are accepted and that no worker runs.
#[test]
fn pools_without_queues_and_queues_without_pools_are_found() {
    let mut lost = queue("a", "/p/");
    lost.pool = "poool".into();

    let found = codes(&draft([lost]));

    let expected = [
        ("queue a".to_owned(), "unknown-pool"),
        ("pool pool".to_owned(), "unused-pool"),
    ];
    assert_eq!(found, expected);
}

/// Guards against limits under which nothing can be served.
#[test]
fn limits_that_refuse_everything_or_contradict_each_other_are_found() {
    let mut draft = draft([Queue {
        timeout: Millis(100),
        attempts: 0,
        priority: 256,
        stretch: Some(0.5),
        ..queue("a", "/p/")
    }]);
    draft.limits = Limits {
        header_bytes: Some(10),
        body_bytes: Some(0),
        header_timeout: Some(Millis(3000)),
        idle_timeout: Some(Millis(1000)),
    };

    let found: Vec<_> = codes(&draft).into_iter().map(|(_, code)| code).collect();

    let expected = [
        "timeout-too-short",
        "no-attempts",
        "priority-too-large",
        "header-limit-too-small",
        "body-limit-too-small",
        "unreachable-objective",
        "idle-before-header",
    ];
    assert_eq!(found, expected);
}

/// Guards against changes that an operator doesn't see before sending them.
#[test]
fn difference_names_every_changed_value() {
    let in_force = draft([queue("a", "/p/"), queue("b", "/q/")]);
    let mut new = draft([queue("a", "/p/"), queue("c", "/q/")]);
    new.version = 2;
    new.queues[0].timeout = Millis(5000);
    new.pools.push("spare".into());
    new.limits.body_bytes = Some(1000);

    let difference = between(&in_force, &new);

    assert!(difference.takes_effect());
    let names: Vec<_> = difference.queues.iter().map(|(name, _)| &**name).collect();
    assert_eq!(names, ["a", "b", "c"]);
    let Edit::Change(fields) = &difference.queues[0].1 else {
        panic!("queue a has changed");
    };
    assert_eq!(fields.len(), 1);
    assert_eq!((fields[0].name, &*fields[0].to), ("timeout", "5s"));
    assert_eq!(difference.queues[1].1, Edit::Remove);
    assert_eq!(difference.queues[2].1, Edit::Add);
    assert_eq!(difference.pools, [("spare".into(), Edit::Add)]);
    assert_eq!(difference.limits[0].name, "body bytes");
}
