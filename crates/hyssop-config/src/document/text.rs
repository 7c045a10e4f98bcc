use super::Section;
use crate::error::{
    Error, MissingSectionSnafu, RedefinedSnafu, SyntaxSnafu, UnknownSnafu, UnreadableSnafu,
};
use ini::Ini;
use snafu::OptionExt;
use std::collections::{BTreeMap, BTreeSet};

/// A parsed INI file.
#[derive(Clone, Debug)]
pub struct Document {
    file: String,
    sections: BTreeMap<String, Section>,
    order: Vec<String>,
}

impl Document {
    /// Reads and parses a file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or is not valid INI.
    pub fn read(path: &str) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(|error| {
            UnreadableSnafu {
                file: path,
                reason: error.to_string(),
            }
            .build()
        })?;
        Self::parse(path, &text)
    }

    /// Parses `text`. Errors name `file` as its source.
    ///
    /// # Errors
    ///
    /// Fails if the text is not valid INI, or if it defines a section, or a key of a section, twice.
    pub fn parse(file: &str, text: &str) -> Result<Self, Error> {
        let ini = Ini::load_from_str_noescape(text).map_err(|error| {
            SyntaxSnafu {
                file,
                line: error.line + 1,
                reason: error.msg.to_string(),
            }
            .build()
        })?;
        let lines = Lines::locate(file, text)?;
        let mut document = Self {
            file: file.to_owned(),
            sections: BTreeMap::new(),
            order: Vec::new(),
        };
        for (name, properties) in ini.iter() {
            document.add(name, properties, &lines)?;
        }
        Ok(document)
    }

    fn add(
        &mut self,
        name: Option<&str>,
        properties: &ini::Properties,
        lines: &Lines,
    ) -> Result<(), Error> {
        let Some(name) = name else {
            return match properties.iter().next() {
                None => Ok(()),
                Some((key, _)) => UnknownSnafu {
                    file: &self.file,
                    line: lines.key("", key),
                    name: key,
                }
                .fail(),
            };
        };
        let mut section = Section::new(&self.file, name, lines.section(name));
        for (key, value) in properties.iter() {
            section.insert(key, value.trim(), lines.key(name, key));
        }
        self.order.push(name.to_owned());
        self.sections.insert(name.to_owned(), section);
        Ok(())
    }

    /// Returns the name of the file.
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Removes and returns the section `name`.
    ///
    /// # Errors
    ///
    /// Fails if there is no such section.
    pub fn take(&mut self, name: &str) -> Result<Section, Error> {
        let section = self.sections.remove(name);
        section.context(MissingSectionSnafu {
            file: &self.file,
            section: name,
        })
    }

    /// Removes and returns the section `name`, or returns an empty section if there is none.
    pub fn take_or_empty(&mut self, name: &str) -> Section {
        let section = self.sections.remove(name);
        section.unwrap_or_else(|| Section::new(&self.file, name, 1))
    }

    /// Removes all sections with a `[KIND NAME]` header and returns them with their names, in the order
    /// of the file.
    pub fn take_kind(&mut self, kind: &str) -> Vec<(String, Section)> {
        let mut found = Vec::new();
        for full_name in &self.order {
            let Some(name) = full_name
                .strip_prefix(kind)
                .and_then(|rest| rest.strip_prefix(' '))
            else {
                continue;
            };
            if let Some(section) = self.sections.remove(full_name) {
                found.push((name.trim().to_owned(), section));
            }
        }
        found
    }

    /// Rejects the document if it has unknown sections, which are those not removed so far.
    ///
    /// # Errors
    ///
    /// Fails with the first unknown section, in the order of lines.
    pub fn finish(self) -> Result<(), Error> {
        match self.sections.values().min_by_key(|section| section.line()) {
            None => Ok(()),
            Some(section) => UnknownSnafu {
                file: &self.file,
                line: section.line(),
                name: format!("[{}]", section.name()),
            }
            .fail(),
        }
    }
}

/// The line numbers of sections and keys, which the INI library doesn't provide.
struct Lines {
    sections: BTreeMap<String, usize>,
    keys: BTreeMap<(String, String), usize>,
}

impl Lines {
    fn locate(file: &str, text: &str) -> Result<Self, Error> {
        let mut lines = Self {
            sections: BTreeMap::new(),
            keys: BTreeMap::new(),
        };
        let mut current = String::new();
        let mut seen = BTreeSet::new();
        for (index, raw) in text.lines().enumerate() {
            let line = index + 1;
            let trimmed = raw.trim();
            if let Some(name) = trimmed
                .strip_prefix('[')
                .and_then(|rest| rest.strip_suffix(']'))
            {
                current = name.trim().to_owned();
                if lines.sections.insert(current.clone(), line).is_some() {
                    let name = format!("[{current}]");
                    return RedefinedSnafu { file, line, name }.fail();
                }
                continue;
            }
            if trimmed.starts_with([';', '#']) {
                continue;
            }
            let Some((key, _)) = trimmed.split_once(['=', ':']) else {
                continue;
            };
            let full_key = (current.clone(), key.trim().to_owned());
            if !seen.insert(full_key.clone()) {
                return RedefinedSnafu {
                    file,
                    line,
                    name: full_key.1,
                }
                .fail();
            }
            lines.keys.insert(full_key, line);
        }
        Ok(lines)
    }

    fn section(&self, name: &str) -> usize {
        self.sections.get(name).copied().unwrap_or(1)
    }

    fn key(&self, section: &str, key: &str) -> usize {
        let full_key = (section.to_owned(), key.to_owned());
        self.keys.get(&full_key).copied().unwrap_or(1)
    }
}
