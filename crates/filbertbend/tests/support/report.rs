//! Renders faults as people see them, without colours.

use {
    filbertbend_yaml::Fault,
    miette::{GraphicalReportHandler, GraphicalTheme},
};

/// Returns the report on `faults`.
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
