//! Every error text names a remedy for the operator, and docs/operators/errors.md lists every error.

mod sources;

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Returns the text of a string literal that starts with its opening quote.
fn literal(text: &str) -> String {
    let mut out = String::new();
    let mut chars = text[1..].chars();
    while let Some(c) = chars.next() {
        match c {
            '"' => break,
            '\\' => match chars.next() {
                Some('\n') => {
                    while chars.as_str().starts_with([' ', '\n']) {
                        chars.next();
                    }
                }
                Some(c) => out.push(c),
                None => break,
            },
            c => out.push(c),
        }
    }
    out
}

/// Returns the path and text of each source file, without test code.
fn non_test_sources() -> Vec<(String, String)> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    sources::below(&root.join("src"), &mut files);
    for entry in std::fs::read_dir(root.join("crates")).expect("crates") {
        let path = entry.expect("an entry").path();
        // The rig is used by tests only.
        if path.is_dir() && !path.ends_with("rig") {
            sources::below(&path.join("src"), &mut files);
        }
    }
    let read = |file: PathBuf| {
        let text = std::fs::read_to_string(&file).expect("a source");
        let own = text.split("#[cfg(test)]\nmod tests {").next().unwrap_or_default().to_string();
        (file.strip_prefix(root).expect("inside").display().to_string(), own)
    };
    let mut sources: Vec<(String, String)> = files.into_iter().map(read).collect();
    sources.sort();
    sources
}

/// Splits an error text into its cause and its remedy, the part after its last colon. A configuration fault, and a list of
/// them, needs no remedy of its own, since its text says what the value must be.
fn split_remedy(message: &str) -> Option<(String, String)> {
    match message {
        "{}" => Some(("all faults of a file, a line each".into(), "correct the keys that are named".into())),
        "configuration, key '{key}': {why}" => Some((
            "configuration, key '{key}'".into(),
            "the rest of the line says what the value must be".into(),
        )),
        _ => {
            let (what, remedy) = message.rsplit_once(": ")?;
            let is_complete = !what.is_empty() && remedy.split_whitespace().count() >= 3;
            is_complete.then(|| (what.to_string(), remedy.to_string()))
        }
    }
}

#[test]
fn every_error_has_a_remedy_and_is_listed_for_operators() {
    let (mut rows, mut without_remedy) = (BTreeSet::new(), Vec::new());
    for (file, text) in non_test_sources() {
        for part in text.split("#[error(").skip(1).filter(|p| p.trim_start().starts_with('"')) {
            let message = literal(part.trim_start());
            match split_remedy(&message) {
                Some((what, remedy)) => drop(rows.insert(format!("| `{file}` | {what} | {remedy} |"))),
                None => without_remedy.push(format!("{file}: {message}")),
            }
        }
    }
    assert!(rows.len() >= 20, "sources were found: {rows:#?}");
    assert_eq!(without_remedy, Vec::<String>::new(), "errors without a remedy");
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/operators/errors.md");
    let page = std::fs::read_to_string(path).expect("the operators' error page");
    let listed: BTreeSet<String> = page.lines().filter(|l| l.starts_with("| `")).map(String::from).collect();
    let missing: Vec<&String> = rows.difference(&listed).collect();
    let stale: Vec<&String> = listed.difference(&rows).collect();
    assert!(
        missing.is_empty() && stale.is_empty(),
        "errors.md lacks\n{missing:#?}\nand lists errors that no longer exist\n{stale:#?}"
    );
}

#[test]
fn errors_are_neither_strings_nor_formatted_by_hand() {
    let mut found = Vec::new();
    for (file, text) in non_test_sources() {
        for (number, line) in text.lines().enumerate() {
            let is_by_hand = line.contains("impl std::error::Error for") || line.contains("impl Error for");
            if is_by_hand || line.contains(", String> {") && line.contains("-> Result<") {
                found.push(format!("{file}:{}: {}", number + 1, line.trim()));
            }
        }
    }
    assert_eq!(found, Vec::<String>::new());
}

#[test]
fn an_error_without_a_remedy_is_detected() {
    assert_eq!(split_remedy("the log is another program's file"), None);
    assert_eq!(split_remedy("can't start: {0}"), None);
    assert_eq!(literal("\"a \\\"b\\\" c\")]"), "a \"b\" c");
    let (what, remedy) = split_remedy("it is down, {0}: start it again").expect("a remedy");
    assert_eq!((what.as_str(), remedy.as_str()), ("it is down, {0}", "start it again"));
}
