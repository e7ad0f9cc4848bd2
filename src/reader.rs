//! Reads TOML tables key by key and collects every finding instead of stopping at the first.

use std::collections::BTreeSet;
use std::ops::{Range, RangeInclusive};
use std::str::FromStr;
use std::time::Duration;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::diagnostic::{DiagnosticList, InputDiagnostic};

/// Collects findings about one text.
pub(crate) struct DiagnosticSink<'t> {
    source: &'t str,
    text: &'t str,
    findings: Vec<InputDiagnostic>,
}

impl<'t> DiagnosticSink<'t> {
    /// Parses `text`; syntax errors become findings.
    pub(crate) fn parse(source: &'t str, text: &'t str) -> (Spanned<DeTable<'t>>, Self) {
        let (table, errors) = DeTable::parse_recoverable(text);
        let mut sink = Self { source, text, findings: Vec::new() };
        for error in errors {
            sink.add(error.span().unwrap_or(0..0), error.message().to_owned());
        }
        (table, sink)
    }

    /// Adds a finding at a byte range.
    pub(crate) fn add(&mut self, span: Range<usize>, message: String) {
        self.findings.push(InputDiagnostic::at(self.source, self.text, span.start, message));
    }

    /// Gives `value` when nothing was found, and all findings in order of place otherwise.
    pub(crate) fn finish<T>(mut self, value: Option<T>) -> Result<T, DiagnosticList> {
        self.findings.sort_by_key(|diagnostic| (diagnostic.line, diagnostic.column));
        match value {
            Some(value) if self.findings.is_empty() => Ok(value),
            _ => Err(DiagnosticList(self.findings)),
        }
    }
}

/// Reads one table and remembers which keys were asked for.
pub(crate) struct TableReader<'a, 't> {
    table: &'a DeTable<'t>,
    span: Range<usize>,
    asked: BTreeSet<&'static str>,
}

impl<'a, 't> TableReader<'a, 't> {
    /// Starts reading a table.
    pub(crate) fn new(table: &'a Spanned<DeTable<'t>>) -> Self {
        Self { table: table.get_ref(), span: table.span(), asked: BTreeSet::new() }
    }

    fn get(&mut self, key: &'static str) -> Option<&'a Spanned<DeValue<'t>>> {
        self.asked.insert(key);
        self.table.get(key)
    }

    /// A string that must be there and not be empty.
    pub(crate) fn string(
        &mut self,
        key: &'static str,
        sink: &mut DiagnosticSink<'_>,
    ) -> Option<String> {
        let found = self.optional_string(key, sink);
        if self.table.get(key).is_none() {
            sink.add(self.span.clone(), format!("missing key `{key}`: expected a string"));
        }
        found
    }

    /// A string that may be absent.
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

    /// A string that parses as `T` and must be there.
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

    /// One of a few words, with a default.
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
        let found = value.get_ref().as_str();
        let hit = words.iter().find(|(word, _)| Some(*word) == found);
        if hit.is_none() {
            let shown = found.map_or(value.get_ref().type_str().to_owned(), |f| format!("{f:?}"));
            sink.add(value.span(), format!("`{key}` is {shown}: expected {}", word_list(words)));
        }
        hit.map(|(_, value)| value.clone())
    }

    /// A whole number in a range, with a default.
    pub(crate) fn integer(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: Option<u64>,
        sink: &mut DiagnosticSink<'_>,
    ) -> Option<u64> {
        let (low, high) = (*range.start(), *range.end());
        let Some(value) = self.get(key) else {
            if default.is_none() {
                let message =
                    format!("missing key `{key}`: expected a whole number {low} to {high}");
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
                    format!("`{key}` has a wrong value: expected a whole number {low} to {high}");
                sink.add(value.span(), message);
                None
            }
        }
    }

    /// A duration in milliseconds, with a default.
    pub(crate) fn millis(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
        sink: &mut DiagnosticSink<'_>,
    ) -> Option<Duration> {
        self.integer(key, range, Some(default), sink).map(Duration::from_millis)
    }

    /// A truth value, with a default.
    pub(crate) fn boolean(
        &mut self,
        key: &'static str,
        default: bool,
        sink: &mut DiagnosticSink<'_>,
    ) -> Option<bool> {
        let Some(value) = self.get(key) else {
            return Some(default);
        };
        let found = value.get_ref().as_bool();
        if found.is_none() {
            let kind = value.get_ref().type_str();
            sink.add(value.span(), format!("`{key}` is a {kind}: expected true or false"));
        }
        found
    }

    /// The tables of an array of tables; absent means none.
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
                    readers.push(Self { table, span: item.span(), asked: BTreeSet::new() });
                }
                None => {
                    sink.add(item.span(), format!("`{key}` holds a non-table: expected a table"))
                }
            }
        }
        readers
    }

    /// A table that may be absent.
    pub(crate) fn table(
        &mut self,
        key: &'static str,
        sink: &mut DiagnosticSink<'_>,
    ) -> Option<TableReader<'a, 't>> {
        let value = self.get(key)?;
        let found = value.get_ref().as_table();
        if found.is_none() {
            let kind = value.get_ref().type_str();
            sink.add(value.span(), format!("`{key}` is a {kind}: expected a table [{key}]"));
        }
        found.map(|table| Self { table, span: value.span(), asked: BTreeSet::new() })
    }

    /// Place of the table, for findings about the whole of it.
    pub(crate) fn span(&self) -> Range<usize> {
        self.span.clone()
    }

    /// Reports each key that nobody asked for.
    pub(crate) fn finish(self, sink: &mut DiagnosticSink<'_>) {
        for key in self.table.keys() {
            let name: &str = key.get_ref();
            if !self.asked.contains(name) {
                let known = self.asked.iter().copied().collect::<Vec<_>>().join(", ");
                sink.add(key.span(), format!("unknown key `{name}`: expected one of {known}"));
            }
        }
    }
}

fn word_list<T>(words: &[(&str, T)]) -> String {
    let quoted: Vec<_> = words.iter().map(|(word, _)| format!("\"{word}\"")).collect();
    quoted.join(" or ")
}
