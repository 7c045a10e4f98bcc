use super::Section;
use crate::error::{
    Error, MissingSectionSnafu, RepeatedSnafu, SyntaxSnafu, UnknownSnafu, UnreadableSnafu,
};
use ini::Ini;
use snafu::OptionExt;
use std::collections::{BTreeMap, BTreeSet};

/// Is a parsed INI file.
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
    /// Fails when the file can't be read or is not INI.
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

    /// Parses `text`, which refusals call `file`.
    ///
    /// # Errors
    ///
    /// Fails when the text is not INI, or a section or a key of a section stands twice.
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

    /// Takes the section `name`.
    ///
    /// # Errors
    ///
    /// Fails when there is none.
    pub fn take(&mut self, name: &str) -> Result<Section, Error> {
        let section = self.sections.remove(name);
        section.context(MissingSectionSnafu {
            file: &self.file,
            section: name,
        })
    }

    /// Takes the section `name`, or an empty one in its place.
    pub fn take_or_empty(&mut self, name: &str) -> Section {
        let section = self.sections.remove(name);
        section.unwrap_or_else(|| Section::new(&self.file, name, 1))
    }

    /// Takes all sections named `[KIND NAME]`, in the order of the file, with their names.
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

    /// Refuses sections that nobody took.
    ///
    /// # Errors
    ///
    /// Fails with the first such section.
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

/// Holds the line numbers of sections and keys, which the INI library does not tell.
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
                    return RepeatedSnafu { file, line, name }.fail();
                }
                continue;
            }
            if trimmed.starts_with([';', '#']) {
                continue;
            }
            let Some((key, _)) = trimmed.split_once(['=', ':']) else {
                continue;
            };
            let place = (current.clone(), key.trim().to_owned());
            if !seen.insert(place.clone()) {
                return RepeatedSnafu {
                    file,
                    line,
                    name: place.1,
                }
                .fail();
            }
            lines.keys.insert(place, line);
        }
        Ok(lines)
    }

    fn section(&self, name: &str) -> usize {
        self.sections.get(name).copied().unwrap_or(1)
    }

    fn key(&self, section: &str, key: &str) -> usize {
        let place = (section.to_owned(), key.to_owned());
        self.keys.get(&place).copied().unwrap_or(1)
    }
}
