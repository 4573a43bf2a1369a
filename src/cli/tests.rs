use super::*;

#[test]
fn command_lines_parse_or_exit_with_code_2() {
    Cli::command().debug_assert();
    let good = [
        "",
        "run",
        "--operator f",
        "run --operator f --with-parent",
        "agent --operator f",
        "check",
        "check --config a --operator b",
        "status --agent 127.0.0.1:9",
        "health n0 --agent 127.0.0.1:9",
        "health",
        "drain n0",
        "ready n0",
        "restart n0",
        "stop n0 --log-format json",
        "peers --door 127.0.0.1:9 --json",
        "peers budgets --door 127.0.0.1:9",
        "peers zones --door 127.0.0.1:9",
        "control serve --store d --listen 127.0.0.1:1",
        "control publish f --wait",
        "control status --explain n0",
        "control diff 1 2",
    ];
    for words in good {
        let words: Vec<&str> = ["ochreward"].into_iter().chain(words.split_whitespace()).collect();
        assert!(Cli::try_parse_from(&words).is_ok(), "{words:?}");
    }
    for words in [
        "drain",
        "agent",
        "status a b",
        "jump",
        "health --agent here",
        "check --config",
        "control",
        "control serve",
    ] {
        let words: Vec<&str> = ["ochreward"].into_iter().chain(words.split_whitespace()).collect();
        let error = Cli::try_parse_from(&words).err().map(|e| e.exit_code());
        assert_eq!(error, Some(2), "{words:?}");
    }
}
