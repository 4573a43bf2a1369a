//! `docs/CAPACITY.md` states exactly the figures of the last committed run of `cargo bench --bench scale`.

use ochreward_rig::capacity::Report;

const PAGE: &str = include_str!("../docs/CAPACITY.md");
const MEASURED: &str = include_str!("../docs/capacity/scale.json");

#[test]
fn the_pages_table_matches_the_last_run() {
    let report = Report::read(MEASURED).expect("a report of the benchmark");
    assert!(report.sizes.len() >= 3, "at least three sizes");
    let (least, most) = (report.sizes[0].members, report.sizes[report.sizes.len() - 1].members);
    assert!(most >= 10 * least, "sizes span a factor of 10: {least} to {most}");
    let page = report.page(PAGE).expect("the markers of the table");
    assert!(page == PAGE, "run `cargo run -p ochreward-rig --example capacity` and read what changed");
}

#[test]
fn a_changed_figure_changes_the_page() {
    let mut report = Report::read(MEASURED).expect("a report of the benchmark");
    let figure = report.sizes[0].figures.values_mut().next().expect("a figure");
    figure.value = figure.value * 3.0 + 1.0;
    assert_ne!(report.page(PAGE).expect("the markers of the table"), PAGE);
}
