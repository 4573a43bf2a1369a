//! Writes the table of `docs/CAPACITY.md` anew from `docs/capacity/scale.json`, which `cargo bench --bench scale` wrote.

use ochreward_rig::capacity::Report;
use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let read = |name: &str| std::fs::read_to_string(docs.join(name)).map_err(|e| format!("{name}: {e}"));
    let written = read("capacity/scale.json").and_then(|json| {
        let report = Report::read(&json).map_err(|e| format!("capacity/scale.json: {e}"))?;
        let page =
            report.page(&read("CAPACITY.md")?).ok_or("CAPACITY.md: the marks of the table are missing")?;
        std::fs::write(docs.join("CAPACITY.md"), page).map_err(|e| format!("CAPACITY.md: {e}"))
    });
    match written {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("{why}");
            ExitCode::FAILURE
        }
    }
}
