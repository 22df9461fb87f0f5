//! Renders faults as text reports.

use {
    filbertbend_yaml::Fault,
    miette::{GraphicalReportHandler, GraphicalTheme},
};

/// Returns the reports of `faults`, without colours.
pub(crate) fn render(faults: &[Fault]) -> String {
    let handler = GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor())
        .with_width(100)
        .with_links(false);
    let mut text = String::new();
    for fault in faults {
        handler.render_report(&mut text, fault).unwrap();
        text.push('\n');
    }
    text
}
