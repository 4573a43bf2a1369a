//! `.ci/tests` skips exactly the tests that KNOWN-RED.txt names, prints the cases recorded there, and rejects an invalid file.
//! A stub replaces cargo and logs its arguments.

use std::os::unix::fs::PermissionsExt;
use std::process::Command;

/// Two valid case lines, as the script must print them.
const CASES: [&str; 2] = [
    "case | soak --seed 1014 --runs 1 | seed 1014 | an attempt began too late | issue 41",
    "case | soak --runs 2 -- 7 | seed 7 | a call too many; two of two runs | issue 5",
];

/// Runs the script; returns whether it succeeded, its output, and the logged cargo calls.
fn run_script(known_red: Option<&str>) -> (bool, String, String) {
    let (status, said, calls) = run_script_with_suite_status(known_red, 0);
    (status == Some(0), said, calls)
}

/// Like `run_script`, but the test suite itself exits with `suite_status`; returns the script's exit status first.
fn run_script_with_suite_status(known_red: Option<&str>, suite_status: i32) -> (Option<i32>, String, String) {
    let directory = tempfile::tempdir().expect("create a temporary directory");
    let path = |name: &str| directory.path().join(name);
    let cargo_stub = "#!/bin/sh\necho \"$*\" >> \"$CALLS\"\ncase \"$*\" in\n*--list*) printf 'a::red: test\\na::twice: test\\na::twice: test\\n\
                 a::red_too: test\\nb::mended: test\\nc: test\\nd: test\\n' ;;\n*--skip*|'test --locked --workspace') exit \"$SUITE_STATUS\" ;;\n\
                 *mended) ;;\n*) exit 101 ;;\nesac\n";
    std::fs::write(path("cargo"), cargo_stub).expect("write the cargo stub");
    std::fs::set_permissions(path("cargo"), PermissionsExt::from_mode(0o755))
        .expect("make the cargo stub executable");
    if let Some(text) = known_red {
        std::fs::write(path("KNOWN-RED.txt"), text).expect("write KNOWN-RED.txt");
    }
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/tests");
    let search_path =
        format!("{}:{}", directory.path().display(), std::env::var("PATH").expect("PATH is set"));
    let output = Command::new("bash")
        .args([script, path("KNOWN-RED.txt").to_str().expect("a UTF-8 path")])
        .env("PATH", search_path)
        .env("CALLS", path("calls"))
        .env("SUITE_STATUS", suite_status.to_string())
        .output()
        .expect("run the script");
    let said = String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned();
    (output.status.code(), said, std::fs::read_to_string(path("calls")).unwrap_or_default())
}

#[test]
fn without_the_file_or_with_an_empty_one_all_tests_run() {
    for text in [None, Some(""), Some("\n  \n")] {
        let (passed, said, calls) = run_script(text);
        assert!(passed && calls == "test --locked --workspace\n", "{text:?}: {said}{calls}");
    }
}

#[test]
fn just_the_named_tests_are_passed_over_run_apart_and_printed() {
    let (passed, said, calls) =
        run_script(Some("a::red | a reset is not seen | issue 34\nb::mended | none any more | issue 7"));
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
        let (passed, said, calls) = run_script(Some(text));
        assert!(!passed && said.contains(why), "{text}: {said}");
        assert!(!calls.contains("--skip"), "no test is passed over: {calls}");
    }
}

#[test]
fn with_only_cases_all_tests_run_and_the_cases_are_printed() {
    for suite_status in [0, 101] {
        let (status, said, calls) = run_script_with_suite_status(Some(&CASES.join("\n")), suite_status);
        assert_eq!(status, Some(suite_status), "{said}");
        assert_eq!(calls, "test --locked --workspace\n", "{said}");
        let printed: Vec<_> = said.lines().filter_map(|line| line.strip_prefix("KNOWN CASE: ")).collect();
        assert_eq!(printed, CASES, "{said}");
        assert!(!said.contains("KNOWN RED"), "{said}");
    }
}

#[test]
fn fields_of_a_case_are_trimmed() {
    let line = "  case|\tsoak --seed\t1014 |seed 1014|  too late|issue 41  ";
    let (passed, said, calls) = run_script(Some(line));
    assert!(passed && calls == "test --locked --workspace\n", "{said}{calls}");
    assert!(said.contains(&format!("KNOWN CASE: {line}\n")), "{said}");
}

#[test]
fn cases_next_to_named_tests_skip_no_further_test() {
    let text = format!("{}\na::red | a reset is not seen | issue 34\n{}\n", CASES[0], CASES[1]);
    let (passed, said, calls) = run_script(Some(&text));
    assert!(passed, "{said}");
    let expected = [
        "test --locked --workspace -- --list",
        "test --locked --workspace -- --exact --skip a::red",
        "test --locked --workspace -- --exact a::red",
    ];
    assert_eq!(calls.lines().collect::<Vec<_>>(), expected, "{said}");
    for case in CASES {
        assert!(said.contains(&format!("KNOWN CASE: {case}\n")), "{said}");
    }
    assert!(said.contains("KNOWN RED: a::red | a reset is not seen | issue 34"), "{said}");
    let (status, said, calls) = run_script_with_suite_status(Some(&text), 101);
    assert_eq!(status, Some(101), "a failure of another test is still a failure: {said}{calls}");
}

#[test]
fn cases_and_named_tests_have_separate_limits() {
    let three = "a::red | x | issue 1\na::red_too | x | issue 1\nb::mended | x | issue 1\n";
    let cases = |count: usize| format!("{}\n", CASES[0]).repeat(count);
    let (passed, said, _) = run_script(Some(&format!("{three}{}", cases(8))));
    assert!(passed, "{said}");
    assert_eq!(said.matches("KNOWN CASE: ").count(), 8, "{said}");

    let (passed, said, calls) = run_script(Some(&cases(9)));
    assert!(!passed && said.contains("9 case lines, 8 are allowed"), "{said}");
    assert_eq!(calls, "", "no test is run");

    let (passed, said, calls) = run_script(Some(&format!("{three}d | x | issue 1\n{}", cases(1))));
    assert!(!passed && said.contains("4 lines, three are allowed"), "{said}");
    assert_eq!(calls, "", "no test is run");
}

#[test]
fn an_invalid_case_fails_before_any_test_is_run() {
    let invalid = [
        // A field is missing, or there is one too many.
        "case",
        "case | soak --seed 7",
        "case | soak --seed 7 | issue 1",
        "case | soak --seed 7 | seed 7 | issue 1",
        "case | soak --seed 7 | too late | issue 1",
        "case | soak --seed 7 | seed 7 | too late",
        "case | soak --seed 7 | seed 7 | too late | often | issue 1",
        "case | soak --seed 7 | seed 7 | too late | issue 1 |",
        // A field is empty.
        "case | | seed 7 | too late | issue 1",
        "case | soak --seed 7 | | too late | issue 1",
        "case | soak --seed 7 | seed 7 | | issue 1",
        "case | soak --seed 7 | seed 7 | too late |",
        "| soak --seed 7 | seed 7 | too late | issue 1",
        // The seed is not 'seed' and a number.
        "case | soak --seed 7 | 7 | too late | issue 1",
        "case | soak --seed 7 | seed | too late | issue 1",
        "case | soak --seed seven | seed seven | too late | issue 1",
        "case | soak --seed 7 | seed 7 8 | too late | issue 1",
        // The command does not contain the seed as a separate word.
        "case | soak | seed 7 | too late | issue 1",
        "case | soak --seed 8 | seed 7 | too late | issue 1",
        "case | soak --seed 77 | seed 7 | too late | issue 1",
        "case | soak --seed 17 | seed 7 | too late | issue 1",
        "case | soak --seed=7 | seed 7 | too late | issue 1",
        // The issue is not 'issue' and a number.
        "case | soak --seed 7 | seed 7 | too late | some day",
        "case | soak --seed 7 | seed 7 | too late | issue",
        "case | soak --seed 7 | seed 7 | too late | 1",
        "case | soak --seed 7 | seed 7 | too late | issue one",
    ];
    for line in invalid {
        let text = format!("{}\na::red | x | issue 1\n{line}\n", CASES[0]);
        let (passed, said, calls) = run_script(Some(&text));
        let form = match line.starts_with("case") {
            true => "case | command | seed N | what was seen | issue N",
            false => "test | cause | issue N",
        };
        assert!(!passed && said.contains(&format!("'{line}' is not '{form}'")), "{line}: {said}");
        assert_eq!(calls, "", "no test is run: {line}");
    }
}
