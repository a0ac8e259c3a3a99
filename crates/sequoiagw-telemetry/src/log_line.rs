//! Parser of log lines.

use std::collections::BTreeMap;

/// A logged event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogLine {
    /// Time stamp, as logged.
    pub time: String,
    /// Name of the node: the word before the event in a collected log, otherwise the file name.
    pub node: String,
    /// Name of the event.
    pub event: String,
    /// All key=value pairs, with the time stamp and the event name.
    pub fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Parses a line; `None` for text that isn't an event. `file` is used as the name of the node
    /// if the line doesn't state one.
    pub fn parse(text: &str, file: &str) -> Option<Self> {
        let start = text.find("ts=")?;
        let node = text[..start].split_whitespace().last().unwrap_or(file);
        let fields = parse_pairs(&text[start..]);
        Some(Self {
            time: fields.get("ts")?.clone(),
            node: node.to_owned(),
            event: fields.get("event")?.clone(),
            fields,
        })
    }

    /// Returns the value of a field, or an empty string if there is none.
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// Parses key=value pairs; a value with spaces is quoted.
fn parse_pairs(text: &str) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let mut rest = text.trim_start();
    while let Some((key, after)) = rest.split_once('=') {
        let (value, remainder) = match after.strip_prefix('"') {
            Some(quoted) => read_quoted(quoted),
            None => match after.split_once(char::is_whitespace) {
                Some((value, remainder)) => (value.to_owned(), remainder),
                None => (after.trim_end().to_owned(), ""),
            },
        };
        fields.insert(key.trim().to_owned(), value);
        rest = remainder.trim_start();
    }
    fields
}

/// Reads a quoted value after its opening quote; returns the unescaped value and the rest of the
/// text.
fn read_quoted(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((index, character)) = chars.next() {
        match character {
            '"' => return (value, &text[index + 1..]),
            '\\' => value.extend(chars.next().map(|(_, escaped)| escaped)),
            _ => value.push(character),
        }
    }
    (value, "")
}
