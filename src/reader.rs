//! Reads TOML tables key by key and collects all mistakes instead of stopping at the first.

use std::collections::BTreeSet;
use std::ops::{Range, RangeInclusive};
use std::str::FromStr;
use std::time::Duration;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::diagnostic::{DiagnosticList, InputDiagnostic};

/// Collects the diagnostics about one text.
pub(crate) struct DiagnosticSink<'t> {
    source: &'t str,
    text: &'t str,
    diagnostics: Vec<InputDiagnostic>,
}

impl<'t> DiagnosticSink<'t> {
    /// Parses `text`; syntax errors are added as diagnostics.
    pub(crate) fn parse(source: &'t str, text: &'t str) -> (Spanned<DeTable<'t>>, Self) {
        let (table, errors) = DeTable::parse_recoverable(text);
        let mut sink = Self { source, text, diagnostics: Vec::new() };
        for error in errors {
            sink.add(error.span().unwrap_or(0..0), error.message().to_owned());
        }
        (table, sink)
    }

    /// Adds a diagnostic for a byte range.
    pub(crate) fn add(&mut self, span: Range<usize>, message: String) {
        self.diagnostics.push(InputDiagnostic::at(self.source, self.text, span.start, message));
    }

    /// Returns `value` if there are no diagnostics, otherwise all diagnostics in order of position.
    pub(crate) fn finish<T>(mut self, value: Option<T>) -> Result<T, DiagnosticList> {
        self.diagnostics.sort_by_key(|diagnostic| (diagnostic.line, diagnostic.column));
        match value {
            Some(value) if self.diagnostics.is_empty() => Ok(value),
            _ => Err(DiagnosticList(self.diagnostics)),
        }
    }
}

/// Reads a table and records which keys were requested, to report unknown keys.
pub(crate) struct TableReader<'a, 't> {
    table: &'a DeTable<'t>,
    span: Range<usize>,
    requested_keys: BTreeSet<&'static str>,
}

impl<'a, 't> TableReader<'a, 't> {
    /// Creates a reader of a table.
    pub(crate) fn new(table: &'a Spanned<DeTable<'t>>) -> Self {
        Self { table: table.get_ref(), span: table.span(), requested_keys: BTreeSet::new() }
    }

    fn get(&mut self, key: &'static str) -> Option<&'a Spanned<DeValue<'t>>> {
        self.requested_keys.insert(key);
        self.table.get(key)
    }

    /// Reads a string that must be present and not empty.
    pub(crate) fn string(
        &mut self,
        key: &'static str,
        sink: &mut DiagnosticSink<'_>,
    ) -> Option<String> {
        let text = self.optional_string(key, sink);
        if self.table.get(key).is_none() {
            sink.add(self.span.clone(), format!("missing key `{key}`: expected a string"));
        }
        text
    }

    /// Reads a string that may be absent.
    pub(crate) fn optional_string(
        &mut self,
        key: &'static str,
        sink: &mut DiagnosticSink<'_>,
    ) -> Option<String> {
        let value = self.get(key)?;
        match value.get_ref().as_str() {
            Some(text) if !text.is_empty() => Some(text.to_owned()),
            Some(_) => {
                sink.add(value.span(), format!("`{key}` is empty: expected a string"));
                None
            }
            None => {
                let kind = value.get_ref().type_str();
                sink.add(value.span(), format!("`{key}` is a {kind}: expected a string"));
                None
            }
        }
    }

    /// Reads a string that must be present and parse as `T`.
    pub(crate) fn parsed<T: FromStr>(
        &mut self,
        key: &'static str,
        expected: &str,
        sink: &mut DiagnosticSink<'_>,
    ) -> Option<T> {
        let text = self.string(key, sink)?;
        let span = self.table.get(key)?.span();
        match text.parse() {
            Ok(value) => Some(value),
            Err(_) => {
                sink.add(span, format!("`{key}` is \"{text}\": expected {expected}"));
                None
            }
        }
    }

    /// Reads one of the given words; `default` applies if the key is absent, `None` makes it mandatory.
    pub(crate) fn choice<T: Clone>(
        &mut self,
        key: &'static str,
        words: &[(&str, T)],
        default: Option<T>,
        sink: &mut DiagnosticSink<'_>,
    ) -> Option<T> {
        let Some(value) = self.get(key) else {
            if default.is_none() {
                let list = word_list(words);
                sink.add(self.span.clone(), format!("missing key `{key}`: expected {list}"));
            }
            return default;
        };
        let text = value.get_ref().as_str();
        let choice = words.iter().find(|(word, _)| Some(*word) == text);
        if choice.is_none() {
            let actual = text.map_or(value.get_ref().type_str().to_owned(), |t| format!("{t:?}"));
            sink.add(value.span(), format!("`{key}` is {actual}: expected {}", word_list(words)));
        }
        choice.map(|(_, value)| value.clone())
    }

    /// Reads a whole number in a range; `default` applies if the key is absent, `None` makes it
    /// mandatory.
    pub(crate) fn integer(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: Option<u64>,
        sink: &mut DiagnosticSink<'_>,
    ) -> Option<u64> {
        let (min, max) = (*range.start(), *range.end());
        let Some(value) = self.get(key) else {
            if default.is_none() {
                let message =
                    format!("missing key `{key}`: expected a whole number {min} to {max}");
                sink.add(self.span.clone(), message);
            }
            return default;
        };
        let number = value
            .get_ref()
            .as_integer()
            .and_then(|i| u64::from_str_radix(&i.as_str().replace('_', ""), i.radix()).ok());
        match number {
            Some(number) if range.contains(&number) => Some(number),
            _ => {
                let message =
                    format!("`{key}` has a wrong value: expected a whole number {min} to {max}");
                sink.add(value.span(), message);
                None
            }
        }
    }

    /// Reads a duration in milliseconds, with a default.
    pub(crate) fn millis(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
        sink: &mut DiagnosticSink<'_>,
    ) -> Option<Duration> {
        self.integer(key, range, Some(default), sink).map(Duration::from_millis)
    }

    /// Reads a boolean, with a default.
    pub(crate) fn boolean(
        &mut self,
        key: &'static str,
        default: bool,
        sink: &mut DiagnosticSink<'_>,
    ) -> Option<bool> {
        let Some(value) = self.get(key) else {
            return Some(default);
        };
        let boolean = value.get_ref().as_bool();
        if boolean.is_none() {
            let kind = value.get_ref().type_str();
            sink.add(value.span(), format!("`{key}` is a {kind}: expected true or false"));
        }
        boolean
    }

    /// Reads an array of tables; an absent key gives an empty list.
    pub(crate) fn tables(
        &mut self,
        key: &'static str,
        sink: &mut DiagnosticSink<'_>,
    ) -> Vec<TableReader<'a, 't>> {
        let Some(value) = self.get(key) else {
            return Vec::new();
        };
        let Some(array) = value.get_ref().as_array() else {
            sink.add(value.span(), format!("`{key}` has a wrong type: expected [[{key}]] tables"));
            return Vec::new();
        };
        let mut readers = Vec::new();
        for item in array.iter() {
            match item.get_ref().as_table() {
                Some(table) => {
                    readers.push(Self {
                        table,
                        span: item.span(),
                        requested_keys: BTreeSet::new(),
                    });
                }
                None => {
                    sink.add(item.span(), format!("`{key}` holds a non-table: expected a table"))
                }
            }
        }
        readers
    }

    /// Reads a table that may be absent.
    pub(crate) fn table(
        &mut self,
        key: &'static str,
        sink: &mut DiagnosticSink<'_>,
    ) -> Option<TableReader<'a, 't>> {
        let value = self.get(key)?;
        let table = value.get_ref().as_table();
        if table.is_none() {
            let kind = value.get_ref().type_str();
            sink.add(value.span(), format!("`{key}` is a {kind}: expected a table [{key}]"));
        }
        table.map(|table| Self { table, span: value.span(), requested_keys: BTreeSet::new() })
    }

    /// Byte range of the table, for diagnostics about the whole table.
    pub(crate) fn span(&self) -> Range<usize> {
        self.span.clone()
    }

    /// Adds a diagnostic for each key that was not requested.
    pub(crate) fn finish(self, sink: &mut DiagnosticSink<'_>) {
        for key in self.table.keys() {
            let name: &str = key.get_ref();
            if !self.requested_keys.contains(name) {
                let known_keys = self.requested_keys.iter().copied().collect::<Vec<_>>().join(", ");
                sink.add(key.span(), format!("unknown key `{name}`: expected one of {known_keys}"));
            }
        }
    }
}

fn word_list<T>(words: &[(&str, T)]) -> String {
    let quoted_words: Vec<_> = words.iter().map(|(word, _)| format!("\"{word}\"")).collect();
    quoted_words.join(" or ")
}
