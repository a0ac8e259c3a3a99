//! A line of a log, read back.

use std::collections::BTreeMap;

/// One event as a process logged it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogLine {
    /// Time as the process wrote it.
    pub time: String,
    /// Node: what stands before the line in a collected log, or the name of the file.
    pub node: String,
    /// Event.
    pub event: String,
    /// All key=value pairs.
    pub fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Reads a line; `None` for text that isn't an event. `file` stands for the node where the
    /// line doesn't begin with one.
    pub fn parse(text: &str, file: &str) -> Option<Self> {
        let start = text.find("ts=")?;
        let node = text[..start].split_whitespace().last().unwrap_or(file);
        let fields = pairs(&text[start..]);
        Some(Self {
            time: fields.get("ts")?.clone(),
            node: node.to_owned(),
            event: fields.get("event")?.clone(),
            fields,
        })
    }

    /// A field, empty when there is none.
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// Reads key=value pairs; values with spaces are quoted.
fn pairs(text: &str) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let mut rest = text.trim_start();
    while let Some((key, after)) = rest.split_once('=') {
        let (value, left) = match after.strip_prefix('"') {
            Some(quoted) => read_quoted(quoted),
            None => match after.split_once(char::is_whitespace) {
                Some((value, left)) => (value.to_owned(), left),
                None => (after.trim_end().to_owned(), ""),
            },
        };
        fields.insert(key.trim().to_owned(), value);
        rest = left.trim_start();
    }
    fields
}

/// Reads up to the closing quote; returns the value and what follows.
fn read_quoted(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut letters = text.char_indices();
    while let Some((at, letter)) = letters.next() {
        match letter {
            '"' => return (value, &text[at + 1..]),
            '\\' => value.extend(letters.next().map(|(_, escaped)| escaped)),
            _ => value.push(letter),
        }
    }
    (value, "")
}
