//! `.ci/tests` passes over just the tests that KNOWN-RED.txt names, and over no other file than a sound one. A stand-in takes
//! the place of cargo and writes down how it was called.

use std::os::unix::fs::PermissionsExt;
use std::process::Command;

/// What came of a run: whether it passed, what it printed, and the calls of cargo.
fn run(known_red: Option<&str>) -> (bool, String, String) {
    let folder = tempfile::tempdir().expect("a folder");
    let path = |name: &str| folder.path().join(name);
    let cargo = "#!/bin/sh\necho \"$*\" >> \"$CALLS\"\ncase \"$*\" in\n*--list*) printf 'a::red: test\\na::twice: test\\na::twice: test\\n\
                 a::red_too: test\\nb::mended: test\\nc: test\\nd: test\\n' ;;\n*--skip*|'test --locked --workspace') ;;\n\
                 *mended) ;;\n*) exit 101 ;;\nesac\n";
    std::fs::write(path("cargo"), cargo).expect("written");
    std::fs::set_permissions(path("cargo"), PermissionsExt::from_mode(0o755)).expect("set");
    if let Some(text) = known_red {
        std::fs::write(path("KNOWN-RED.txt"), text).expect("written");
    }
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/tests");
    let paths = format!("{}:{}", folder.path().display(), std::env::var("PATH").expect("a path"));
    let output = Command::new("bash")
        .args([script, path("KNOWN-RED.txt").to_str().expect("a path")])
        .env("PATH", paths)
        .env("CALLS", path("calls"))
        .output()
        .expect("the script runs");
    let said = String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned();
    (output.status.success(), said, std::fs::read_to_string(path("calls")).unwrap_or_default())
}

#[test]
fn without_the_file_or_with_an_empty_one_all_tests_run() {
    for text in [None, Some(""), Some("\n  \n")] {
        let (passed, said, calls) = run(text);
        assert!(passed && calls == "test --locked --workspace\n", "{text:?}: {said}{calls}");
    }
}

#[test]
fn just_the_named_tests_are_passed_over_run_apart_and_printed() {
    let (passed, said, calls) =
        run(Some("a::red | a reset is not seen | issue 34\nb::mended | none any more | issue 7"));
    assert!(passed, "{said}");
    assert!(
        calls.contains("test --locked --workspace -- --exact --skip a::red --skip b::mended\n"),
        "{calls}"
    );
    assert!(calls.contains("-- --exact a::red\n") && calls.contains("-- --exact b::mended\n"), "{calls}");
    assert!(said.contains("KNOWN RED: a::red | a reset is not seen | issue 34"), "{said}");
    assert!(said.contains("KNOWN RED fails still: a::red"), "{said}");
    assert!(said.contains("passes now") && said.contains("b::mended"), "{said}");
}

#[test]
fn a_faulty_file_fails_and_says_where() {
    let four = "a::red | x | issue 1\na::red_too | x | issue 1\nc | x | issue 1\nd | x | issue 1\n";
    let faults = [
        (four, "4 lines, three are allowed"),
        ("a::red | a cause", "is not 'test | cause | issue N'"),
        ("a::red | | issue 3", "is not 'test | cause | issue N'"),
        ("| a cause | issue 3", "is not 'test | cause | issue N'"),
        ("a::red | a cause | some day", "is not 'test | cause | issue N'"),
        ("a::re | a cause | issue 3", "names 0 tests"),
        ("a::twice | a cause | issue 3", "names 2 tests"),
    ];
    for (text, why) in faults {
        let (passed, said, calls) = run(Some(text));
        assert!(!passed && said.contains(why), "{text}: {said}");
        assert!(!calls.contains("--skip"), "no test is passed over: {calls}");
    }
}
