use super::estimator::{Image, Queue, MAX_IMAGES, MAX_QUEUES};
use super::moments::{Moments, MAX_LOGARITHM};
use super::residuals::{Residuals, BUCKETS};
use super::track::Track;
use super::Estimator;
use strum::Display;

/// The layout of the row. Another one is ignored, and the pool learns anew.
const LAYOUT: u8 = 1;
/// The largest row that is written or read, in bytes: the queues and some 600 images, half of what the
/// store takes, so that a row of a later version with more of each is recognized by its layout.
const MAX_BYTES: usize = 32_768;
const TRACK_BYTES: usize = 6 * 4 + BUCKETS;
const IMAGE_BYTES: usize = 8 + TRACK_BYTES;
/// No sum of variances of logarithms of durations exceeds this.
const MAX_VALUE: f32 = 1e6;

/// Why a row is not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub(in crate::owner) enum Refusal {
    /// It is larger than any that is written.
    Oversized,
    /// It has another layout.
    Layout,
    /// It can't be decoded, or has impossible values.
    Malformed,
}

impl Estimator {
    /// Returns what was learned as the value of a row of at most `limit` bytes; the images that were
    /// used least recently are left out if there are too many, `None` if not even the queues fit.
    pub(in crate::owner) fn encode(&self, limit: usize) -> Option<Vec<u8>> {
        let limit = limit.min(MAX_BYTES);
        let mut value = vec![LAYOUT];
        value.extend((self.queues.len() as u16).to_le_bytes());
        for (name, queue) in &self.queues {
            value.extend((name.len() as u16).to_le_bytes());
            value.extend(name.as_bytes());
            write_track(&mut value, &queue.track);
            write_floats(&mut value, &[queue.within_xx, queue.within_xy]);
            value.extend(queue.within.counts);
        }
        let room = limit.checked_sub(value.len() + 2)? / IMAGE_BYTES;
        let mut images: Vec<(&u64, &Image)> = self.images.iter().collect();
        images.sort_unstable_by_key(|(_, image)| std::cmp::Reverse(image.used));
        images.truncate(room);
        value.extend((images.len() as u16).to_le_bytes());
        for (key, image) in images {
            value.extend(key.to_le_bytes());
            write_track(&mut value, &image.track);
        }
        Some(value)
    }

    /// Takes what an earlier owner has learned from the value of its row.
    ///
    /// # Errors
    ///
    /// Returns why the row isn't used; nothing is changed then.
    pub(in crate::owner) fn restore(&mut self, value: &[u8]) -> Result<(), Refusal> {
        if value.len() > MAX_BYTES {
            return Err(Refusal::Oversized);
        }
        let mut reader = Reader(value);
        if reader.byte() != Some(LAYOUT) {
            return Err(Refusal::Layout);
        }
        let restored = reader.estimator().ok_or(Refusal::Malformed)?;
        self.queues = restored.queues;
        self.images = restored.images;
        self.observations = restored.observations;
        Ok(())
    }
}

fn write_floats(value: &mut Vec<u8>, floats: &[f32]) {
    floats
        .iter()
        .for_each(|float| value.extend(float.to_le_bytes()));
}

fn write_track(value: &mut Vec<u8>, track: &Track) {
    let Moments { runs, x, y, xx, xy } = track.moments;
    write_floats(value, &[runs, x, y, xx, xy, track.spread]);
    value.extend(track.residuals.counts);
}

/// Reads values from the rest of a row.
struct Reader<'a>(&'a [u8]);

impl Reader<'_> {
    fn bytes<const LENGTH: usize>(&mut self) -> Option<[u8; LENGTH]> {
        let (first, rest) = self.0.split_first_chunk()?;
        self.0 = rest;
        Some(*first)
    }

    fn byte(&mut self) -> Option<u8> {
        self.bytes().map(|[byte]| byte)
    }

    fn count(&mut self, most: usize) -> Option<usize> {
        let count = usize::from(u16::from_le_bytes(self.bytes()?));
        (count <= most).then_some(count)
    }

    /// Reads a number that is finite and not larger than any that is written.
    fn float(&mut self) -> Option<f32> {
        let float = f32::from_le_bytes(self.bytes()?);
        (float.abs() <= MAX_VALUE).then_some(float)
    }

    fn positive(&mut self) -> Option<f32> {
        self.float().filter(|float| *float >= 0.0)
    }

    fn logarithm(&mut self) -> Option<f32> {
        self.positive().filter(|float| *float <= MAX_LOGARITHM)
    }

    fn track(&mut self) -> Option<Track> {
        Some(Track {
            moments: Moments {
                runs: self.positive()?,
                x: self.logarithm()?,
                y: self.logarithm()?,
                xx: self.positive()?,
                xy: self.float()?,
            },
            spread: self.logarithm()?,
            residuals: Residuals {
                counts: self.bytes()?,
            },
            ..Track::default()
        })
    }

    fn name(&mut self) -> Option<String> {
        let length = self.count(usize::MAX)?;
        let (name, rest) = self.0.split_at_checked(length)?;
        self.0 = rest;
        String::from_utf8(name.to_vec()).ok()
    }

    /// Reads all that follows the layout.
    fn estimator(&mut self) -> Option<Estimator> {
        let mut estimator = Estimator::default();
        for _ in 0..self.count(MAX_QUEUES)? {
            let name = self.name()?;
            let queue = Queue {
                track: self.track()?,
                within_xx: self.positive()?,
                within_xy: self.float()?,
                within: Residuals {
                    counts: self.bytes()?,
                },
            };
            estimator.queues.insert(name, queue);
        }
        let images = self.count(MAX_IMAGES)?;
        for number in 0..images {
            let key = u64::from_le_bytes(self.bytes()?);
            let track = self.track()?;
            // The most recently used come first.
            let used = (images - number) as u64;
            estimator.images.insert(key, Image { track, used });
        }
        estimator.observations = images as u64;
        self.0.is_empty().then_some(estimator)
    }
}
