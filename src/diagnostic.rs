//! Diagnostics about input, collected with their positions and reported together.

use std::fmt::{self, Display};

use serde::{Deserialize, Serialize};

/// A mistake in a text: its position, what was found and what was expected.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct InputDiagnostic {
    /// Name of the file or interface that the text came from.
    pub source: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// What is wrong and what was expected.
    pub message: String,
}

impl InputDiagnostic {
    /// Creates a diagnostic for a byte offset of `text`.
    pub(crate) fn at(source: &str, text: &str, offset: usize, message: String) -> Self {
        let prefix = &text[..text.floor_char_boundary(offset.min(text.len()))];
        let line = prefix.matches('\n').count() + 1;
        let column = prefix.chars().rev().take_while(|c| *c != '\n').count() + 1;
        Self { source: source.to_owned(), line, column, message }
    }
}

impl Display for InputDiagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: {}", self.source, self.line, self.column, self.message)
    }
}

/// All diagnostics about one text.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DiagnosticList(pub Vec<InputDiagnostic>);

impl Display for DiagnosticList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for diagnostic in &self.0 {
            writeln!(f, "{diagnostic}")?;
        }
        Ok(())
    }
}

impl std::error::Error for DiagnosticList {}
