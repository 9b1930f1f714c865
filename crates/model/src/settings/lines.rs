//! The settings file as lines: finds the line of a key and the key at a position, and removes or
//! replaces faulty parts. The parser stops at its first error, so the next one is found by parsing
//! the corrected text.

/// The lines of one file.
#[derive(Debug, Clone)]
pub(super) struct SettingsLines {
    lines: Vec<String>,
}

impl SettingsLines {
    pub(super) fn new(text: &str) -> Self {
        Self { lines: text.lines().map(str::to_owned).collect() }
    }

    pub(super) fn text(&self) -> String {
        self.lines.join("\n")
    }

    /// The dotted path of the key at `line` and `column`, both counted from one; empty when there
    /// is none.
    pub(super) fn key_at(&self, line: u64, column: u64) -> String {
        let Some(index) = index_of(line) else { return String::new() };
        let Some(text) = self.lines.get(index) else { return String::new() };
        let Some((mut indent, key)) = key_before(text, index_of(column).unwrap_or(0)) else {
            return String::new();
        };
        let mut keys = vec![key];
        if indent < indent_of(text) || !text[..indent.min(text.len())].trim().is_empty() {
            indent = indent_of(text);
            let own = key_before(text, 0).map(|(_, key)| key);
            keys.extend(own.filter(|own| *own != keys[0]));
        }
        for above in self.lines[..index].iter().rev() {
            let Some((outer, key)) = key_before(above, 0) else { continue };
            if outer < indent {
                indent = outer;
                keys.push(key);
            }
        }
        keys.reverse();
        keys.join(".")
    }

    /// The line of the key with path `key`, or of its nearest parent key; zero when there is none.
    pub(super) fn line_of(&self, key: &str) -> u64 {
        let mut wanted = key;
        loop {
            let found = (1..=self.lines.len() as u64).find(|line| self.key_at(*line, 0) == wanted);
            match (found, wanted.rsplit_once('.')) {
                (Some(line), _) => return line,
                (None, Some((outer, _))) => wanted = outer,
                (None, None) => return 0,
            }
        }
    }

    /// Clears the key at `line` and everything nested under it; `false` when the key does not start
    /// the line or starts a list item, which would break the structure.
    pub(super) fn remove_key(&mut self, line: u64, column: u64) -> bool {
        let Some(index) = index_of(line).filter(|index| *index < self.lines.len()) else {
            return false;
        };
        let indent = indent_of(&self.lines[index]);
        if index_of(column) != Some(indent) || self.lines[index].trim_start().starts_with('-') {
            return false;
        }
        self.lines[index].clear();
        for below in &mut self.lines[index + 1..] {
            if !below.trim().is_empty() && indent_of(below) <= indent {
                break;
            }
            below.clear();
        }
        true
    }

    /// Replaces the value at `line` and `column` by `value`; `false` when there is a key at that
    /// position, since the key's own value would remain.
    pub(super) fn replace_value(&mut self, line: u64, column: u64, value: &str) -> bool {
        let Some(text) = index_of(line).and_then(|index| self.lines.get_mut(index)) else {
            return false;
        };
        let Some(start) = index_of(column).filter(|start| text.is_char_boundary(*start)) else {
            return false;
        };
        let tail = &text[start..];
        let end = tail.find([',', '}', ']', '#']).unwrap_or(tail.len());
        if key_before(&tail[..end], 0).is_some() {
            return false;
        }
        text.replace_range(start..start + end, value);
        true
    }
}

fn index_of(number: u64) -> Option<usize> {
    usize::try_from(number.checked_sub(1)?).ok()
}

fn indent_of(line: &str) -> usize {
    line.len() - line.trim_start().len()
}

/// The last key of `line` that starts at or before `column`, with its start; the first key when
/// none does.
fn key_before(line: &str, column: usize) -> Option<(usize, String)> {
    let content = line.split(" #").next().unwrap_or_default();
    let mut found = None;
    let mut start = 0;
    for token in content.split_inclusive(['{', ',', ' ']) {
        let word = token.trim_end_matches(['{', ',', ' ']);
        if let Some(key) = word.strip_suffix(':').filter(|key| !key.is_empty()) {
            if found.is_some() && start > column {
                break;
            }
            found = Some((start, key.to_owned()));
        }
        start += token.len();
    }
    found.filter(|_| !content.trim_start().starts_with('#'))
}
