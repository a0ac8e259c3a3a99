//! Path patterns of routes.

use std::cmp::Reverse;

/// One segment of a pattern.
#[derive(Clone, Debug, Eq, PartialEq)]
enum PatternPart {
    Literal(String),
    One,
    Rest,
}

/// A compiled path pattern.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PathPattern {
    parts: Vec<PatternPart>,
}

impl PathPattern {
    /// Compiles a pattern; `None` when it doesn't start with `/` or has `**` before its end.
    pub fn parse(text: &str) -> Option<Self> {
        let segments: Vec<&str> = text.strip_prefix('/')?.split('/').collect();
        let last = segments.len() - 1;
        let mut parts = Vec::with_capacity(segments.len());
        for (index, segment) in segments.into_iter().enumerate() {
            parts.push(match segment {
                "*" => PatternPart::One,
                "**" if index == last => PatternPart::Rest,
                literal if !literal.contains('*') => PatternPart::Literal(literal.to_owned()),
                _ => return None,
            });
        }
        Some(Self { parts })
    }

    /// Whether a path without its query matches.
    pub fn matches(&self, path: &str) -> bool {
        let Some(rest) = path.strip_prefix('/') else {
            return false;
        };
        let mut segments = rest.split('/');
        for part in &self.parts {
            match (part, segments.next()) {
                (PatternPart::Rest, _) => return true,
                (PatternPart::One, Some(segment)) if !segment.is_empty() => {}
                (PatternPart::Literal(literal), Some(segment)) if literal == segment => {}
                _ => return false,
            }
        }
        segments.next().is_none()
    }

    /// Sort key that puts the more specific pattern first: literals before wildcards.
    pub fn specificity(&self) -> Reverse<Vec<u8>> {
        let weights = self.parts.iter().map(|part| match part {
            PatternPart::Literal(_) => 3,
            PatternPart::One => 2,
            PatternPart::Rest => 1,
        });
        Reverse(weights.collect())
    }

    /// Whether two patterns match the same paths.
    pub fn matches_same_paths(&self, other: &Self) -> bool {
        self.parts == other.parts
    }
}
