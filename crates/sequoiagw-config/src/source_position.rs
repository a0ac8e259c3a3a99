//! Positions of keys in TOML source text.

use toml_edit::Document;
use toml_edit::Item;

/// Returns the 1-based line and column of the key at a dotted path.
///
/// Falls back to the nearest enclosing table that is in the text. Returns `None` if there is none
/// or the text isn't valid TOML.
pub fn locate_key(source: &str, path: &str) -> Option<(usize, usize)> {
    let document = Document::parse(source).ok()?;
    let mut item: &Item = document.as_item();
    let mut offset = None;
    for segment in path.split('.') {
        let Some((key, next)) = item
            .as_table_like()
            .and_then(|table| table.get_key_value(segment))
        else {
            break;
        };
        offset = key
            .span()
            .or_else(|| next.span())
            .map(|span| span.start)
            .or(offset);
        item = next;
    }
    offset.map(|offset| line_and_column(source, offset))
}

fn line_and_column(source: &str, offset: usize) -> (usize, usize) {
    let before = &source[..offset.min(source.len())];
    let line = before.matches('\n').count() + 1;
    let column = before
        .rsplit('\n')
        .next()
        .map_or(0, |text| text.chars().count())
        + 1;
    (line, column)
}
