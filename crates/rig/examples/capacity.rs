//! Regenerates the table in `docs/CAPACITY.md` from `docs/capacity/scale.json`, which `cargo bench --bench scale` writes.

use ochreward_rig::capacity::Report;
use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let read = |name: &str| std::fs::read_to_string(docs.join(name)).map_err(|e| format!("{name}: {e}"));
    let result = read("capacity/scale.json").and_then(|json| {
        let report = Report::read(&json).map_err(|e| format!("capacity/scale.json: {e}"))?;
        let page = report
            .page(&read("CAPACITY.md")?)
            .ok_or("CAPACITY.md: the comment lines that enclose the table are missing")?;
        std::fs::write(docs.join("CAPACITY.md"), page).map_err(|e| format!("CAPACITY.md: {e}"))
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
