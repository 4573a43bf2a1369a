//! `docs/CAPACITY.md` says what the last committed run of `cargo bench --bench scale` measured, and nothing else.

use ochreward_rig::capacity::Report;

const PAGE: &str = include_str!("../docs/CAPACITY.md");
const MEASURED: &str = include_str!("../docs/capacity/scale.json");

#[test]
fn the_table_of_the_page_is_that_of_the_last_run() {
    let report = Report::read(MEASURED).expect("what the benchmark wrote");
    assert!(report.sizes.len() >= 3, "at least three sizes");
    let (least, most) = (report.sizes[0].members, report.sizes[report.sizes.len() - 1].members);
    assert!(most >= 10 * least, "over a factor of 10: {least} to {most}");
    let page = report.page(PAGE).expect("the marks of the table");
    assert!(page == PAGE, "run `cargo run -p ochreward-rig --example capacity` and read what changed");
}

#[test]
fn another_figure_makes_another_page() {
    let mut report = Report::read(MEASURED).expect("what the benchmark wrote");
    let figure = report.sizes[0].figures.values_mut().next().expect("a figure");
    figure.value = figure.value * 3.0 + 1.0;
    assert_ne!(report.page(PAGE).expect("the marks of the table"), PAGE);
}
