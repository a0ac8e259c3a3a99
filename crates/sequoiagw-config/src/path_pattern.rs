//! Path patterns of routes, such as `/orders/*` and `/static/**`.

use std::cmp::Reverse;

/// One segment of a path pattern.
#[derive(Clone, Debug, Eq, PartialEq)]
enum PatternSegment {
    Literal(String),
    /// `*`: one non-empty segment.
    AnySegment,
    /// `**`: all remaining segments.
    Remainder,
}

/// A compiled path pattern.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PathPattern {
    segments: Vec<PatternSegment>,
}

impl PathPattern {
    /// Parses a pattern.
    ///
    /// Returns `None` if it doesn't start with `/`, if `**` isn't the last segment, or if `*` is
    /// only a part of a segment.
    pub fn parse(text: &str) -> Option<Self> {
        let raw_segments: Vec<&str> = text.strip_prefix('/')?.split('/').collect();
        let last = raw_segments.len() - 1;
        let mut segments = Vec::with_capacity(raw_segments.len());
        for (index, segment) in raw_segments.into_iter().enumerate() {
            segments.push(match segment {
                "*" => PatternSegment::AnySegment,
                "**" if index == last => PatternSegment::Remainder,
                literal if !literal.contains('*') => PatternSegment::Literal(literal.to_owned()),
                _ => return None,
            });
        }
        Some(Self { segments })
    }

    /// Whether the pattern matches a path without its query.
    pub fn matches(&self, path: &str) -> bool {
        let Some(rest) = path.strip_prefix('/') else {
            return false;
        };
        let mut path_segments = rest.split('/');
        for segment in &self.segments {
            match (segment, path_segments.next()) {
                (PatternSegment::Remainder, _) => return true,
                (PatternSegment::AnySegment, Some(actual)) if !actual.is_empty() => {}
                (PatternSegment::Literal(literal), Some(actual)) if literal == actual => {}
                _ => return false,
            }
        }
        path_segments.next().is_none()
    }

    /// Sort key that puts the more specific pattern first: segment by segment, a literal comes
    /// before `*`, and `*` before `**`.
    pub fn specificity(&self) -> Reverse<Vec<u8>> {
        let weights = self.segments.iter().map(|segment| match segment {
            PatternSegment::Literal(_) => 3,
            PatternSegment::AnySegment => 2,
            PatternSegment::Remainder => 1,
        });
        Reverse(weights.collect())
    }

    /// Whether two patterns match exactly the same paths.
    pub fn matches_same_paths(&self, other: &Self) -> bool {
        self.segments == other.segments
    }
}
