//! Tests that the documentation and the examples match the code.

mod support {
    pub(crate) mod platform;
}

use {
    filbertbend::serve,
    serde_json::Value,
    std::{
        collections::{BTreeMap, BTreeSet},
        fs,
        path::{Path, PathBuf},
    },
    support::platform::{Platform, LIMIT},
    tokio::{process::Command, time::timeout},
};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page(path: &str) -> String {
    fs::read_to_string(root().join(path)).unwrap()
}

/// A fenced code block of a page.
struct Block {
    info: String,
    text: String,
}

fn blocks(page: &str) -> Vec<Block> {
    let parts: Vec<&str> = page.split("```").collect();
    assert!(parts.len() % 2 == 1, "a code block is not closed");
    parts
        .chunks(2)
        .filter_map(|pair| pair.get(1))
        .map(|block| {
            let (info, text) = block.split_once('\n').unwrap();
            Block {
                info: info.to_owned(),
                text: text.to_owned(),
            }
        })
        .collect()
}

/// Returns the cells of each row of the first table below `heading`.
fn table(page: &str, heading: &str) -> Vec<Vec<String>> {
    let (_, below) = page.split_once(&format!("\n{heading}\n")).unwrap();
    below
        .lines()
        .skip_while(|line| !line.starts_with('|'))
        .take_while(|line| line.starts_with('|'))
        .skip(2)
        .map(|line| line.trim_matches('|').split('|'))
        .map(|cells| cells.map(|cell| cell.trim().replace('`', "")).collect())
        .collect()
}

/// Runs a shell script and returns its standard output. Panics if it fails.
async fn run(script: &str) -> String {
    let mut command = Command::new("sh");
    command.args(["-e", "-c", script]).kill_on_drop(true);
    let output = timeout(LIMIT, command.output()).await;
    let output = output
        .unwrap_or_else(|_| panic!("timed out: {script}"))
        .unwrap();
    let [out, err] = [output.stdout, output.stderr].map(|bytes| String::from_utf8(bytes).unwrap());
    assert!(output.status.success(), "{script}\n{out}\n{err}");
    out
}

/// An HTTP response as curl prints it.
#[derive(Debug, Eq, PartialEq)]
struct Answer {
    status: String,
    outcome: String,
    /// The keys of the JSON body, with the values that do not vary.
    body: Vec<String>,
}

fn answer(text: &str) -> Answer {
    let text = text.replace('\r', "");
    let (head, body) = text.split_once("\n\n").expect("a head and a body");
    let body: Value = serde_json::from_str(body.trim()).unwrap();
    let outcome = head
        .lines()
        .find_map(|line| line.strip_prefix("x-filbertbend-outcome: "))
        .unwrap();
    let mut varies = vec!["request", "endpoint", "trials"];
    // A job that has not ended may be waiting or running.
    if outcome == "pending" {
        varies.push("phase");
    }
    let fields = body.as_object().unwrap().iter();
    Answer {
        status: head.lines().next().unwrap().to_owned(),
        outcome: outcome.to_owned(),
        body: fields
            .map(|(key, value)| match varies.contains(&key.as_str()) {
                true => key.clone(),
                false => format!("{key}: {value}"),
            })
            .collect(),
    }
}

/// Guards against an example command that fails when pasted, or whose response
/// differs from the one shown.
#[tokio::test(flavor = "multi_thread")]
async fn commands_of_the_guide_get_the_answers_shown() {
    let platform = Platform::start().await;
    let callers = platform.fleet.entries[0].callers.to_string();
    let blocks = blocks(&page("docs/guide.md"));

    let mut compared = 0;
    for (index, block) in blocks.iter().enumerate() {
        if block.info != "sh" {
            continue;
        }
        let script = block.text.replace("127.0.0.1:8080", &callers);
        let printed = run(&script).await;
        let shown = &blocks[index + 1];
        assert_eq!(shown.info, "http", "no answer is shown for {script}");
        assert_eq!(answer(&printed), answer(&shown.text), "{script}");
        compared += 1;
    }

    assert_eq!(compared, 12);
}

/// Guards against failing commands in the README.
#[tokio::test(flavor = "multi_thread")]
async fn commands_of_the_readme_succeed() {
    const LOCAL: &str = "cargo run --release --example local --";
    let test = std::env::current_exe().unwrap();
    let built = test.ancestors().nth(2).unwrap().join("examples/local");
    let scripts: Vec<String> = blocks(&page("README.md"))
        .into_iter()
        .filter(|block| block.info == "sh")
        .map(|block| block.text.replace(LOCAL, built.to_str().unwrap()))
        .collect();
    assert!(!scripts.is_empty());

    for script in scripts {
        assert!(!script.contains("cargo"), "would build: {script}");
        let printed = run(&script).await;
        assert!(printed.contains("All processes have stopped."), "{printed}");
    }
}

#[test]
fn outcomes_of_the_guide_are_those_of_the_code() {
    // Guards against a status that the guide does not document.
    let guide = page("docs/guide.md");
    let mut documented = BTreeMap::new();
    for row in table(&guide, "## Outcomes") {
        let numbers = row[1].split(|c: char| !c.is_ascii_digit());
        let statuses: BTreeSet<u16> = numbers.filter_map(|text| text.parse().ok()).collect();
        documented.insert(row[0].clone(), statuses);
    }
    // These responses come from an endpoint or a job, as the examples show.
    assert_eq!(documented.remove("done"), Some(BTreeSet::from([200, 202])));
    assert_eq!(documented.remove("pending"), Some(BTreeSet::from([202])));

    let statuses: BTreeMap<String, BTreeSet<u16>> = serve::statuses()
        .into_iter()
        .map(|(outcome, statuses)| (outcome.to_owned(), statuses))
        .collect();

    assert_eq!(documented, statuses);
}

#[test]
fn reasons_of_the_guide_are_those_of_the_code() {
    // Guards against a reason that the guide does not document.
    let documented: BTreeSet<[String; 3]> = table(&page("docs/guide.md"), "### Reasons")
        .into_iter()
        .map(|row| [row[0].clone(), row[1].clone(), row[2].clone()])
        .collect();

    let reasons: BTreeSet<[String; 3]> = serve::reasons()
        .map(|(reason, outcome, status)| {
            [reason.to_string(), outcome.to_owned(), status.to_string()]
        })
        .collect();

    assert_eq!(documented, reasons);
}

#[test]
fn routes_of_the_guide_are_those_of_the_code() {
    // Guards against a route that the guide does not document, or that no longer
    // exists.
    let documented: BTreeSet<String> = table(&page("docs/guide.md"), "## Routes")
        .into_iter()
        .map(|row| row[0].replace("/v1/jobs/{service}", "/v1/jobs/{id}"))
        .collect();
    let source = page("crates/filbertbend/src/serve/api.rs");
    let (_, router) = source.split_once("Router::new()").unwrap();
    let (router, _) = router.split_once(".fallback(").unwrap();

    let mut routes = BTreeSet::new();
    for route in router.split(".route(").skip(1) {
        let path = route.split('"').nth(1).unwrap().replace("{name}", "{id}");
        for method in ["any", "get", "post", "put", "patch", "delete"] {
            if route.contains(&format!("{method}(")) {
                routes.insert(format!("{} {path}", method.to_uppercase()));
            }
        }
    }

    assert_eq!(documented, routes);
}

/// Copies an example settings file to a folder with empty key files.
fn settings(file: &str) -> (tempfile::TempDir, PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join(file);
    fs::copy(root().join("examples/settings").join(file), &path).unwrap();
    let keys = folder.path().join("keys");
    fs::create_dir(&keys).unwrap();
    for file in [
        "entry.pem",
        "entry.key",
        "agent.pem",
        "agent.key",
        "authority.pem",
    ] {
        fs::write(keys.join(file), "").unwrap();
    }
    (folder, path)
}

#[test]
fn examples_of_settings_have_no_fault() {
    // Guards against example settings with which the processes do not start.
    let (_entry, entry_path) = settings("entry.yaml");
    let (_agent, agent_path) = settings("agent.yaml");

    let entry = filbertbend::settings::Settings::load(entry_path).unwrap();
    let agent = filbertbend_agent::settings::Settings::load(agent_path).unwrap();

    assert_eq!(entry.slices, agent.slices);
    assert!(agent.seeds.contains(&entry.addresses.advertised));
}

/// Guards against broken links between pages.
#[test]
fn links_between_pages_lead_somewhere() {
    for path in [
        "README.md",
        "CONTRIBUTING.md",
        "docs/guide.md",
        "docs/operators.md",
        "docs/glossary.md",
    ] {
        let text = page(path);
        let folder = root().join(path).parent().unwrap().to_owned();
        for link in text.split("](").skip(1) {
            let target = link.split([')', '#']).next().unwrap();
            if !target.is_empty() && !target.contains("://") {
                assert!(folder.join(target).exists(), "{path}: {target}");
            }
        }
    }
}

/// Guards against a page that names a test which does not exist.
#[test]
fn tests_named_by_the_promises_exist() {
    let page = page("docs/promises.md");
    let folders = ["coordination", "standin", "filbertbend"];
    let mut named = 0;

    for quoted in page.split('`').skip(1).step_by(2) {
        let Some((file, test)) = quoted.split_once("::") else {
            continue;
        };
        // Types and their methods are code references, not tests.
        if test.contains(|c: char| c.is_ascii_uppercase()) {
            continue;
        }
        let sources = folders.iter().filter_map(|folder| {
            let path = format!("crates/{folder}/tests/{file}.rs");
            fs::read_to_string(root().join(path)).ok()
        });
        let sources: Vec<String> = sources.collect();
        if sources.is_empty() {
            // A module into which a fault is injected.
            continue;
        }
        let definition = format!("fn {test}(");
        let found = sources.iter().any(|source| source.contains(&definition));
        assert!(found, "{quoted}");
        named += 1;
    }

    assert!(named > 100, "{named}");
}
