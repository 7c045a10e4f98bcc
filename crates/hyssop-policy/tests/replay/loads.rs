use hyssop_policy::owner::learning::Kind;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use strum::{Display, EnumIter};

/// The kinds of load that are drawn.
#[derive(Clone, Copy, Debug, Display, EnumIter, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum Load {
    /// Images with stable means.
    Stable,
    /// All tasks have one estimate, whatever their image.
    EqualEstimates,
    /// So many images that each has a few runs.
    RareImages,
    /// Two queues with the same images.
    TwoQueues,
    /// 3% of the tasks take ten times as long.
    LongTail,
    /// One of ten workers takes four times as long; its tasks aren't scored.
    SickWorker,
    /// A third of the images takes four times as long from the middle on.
    Change,
    /// Tasks of one image vary by sizes that the estimates tell.
    Sizes,
    /// Each task has an image of its own.
    AllDifferent,
    /// No task names its image.
    NoNames,
}

impl Load {
    /// Returns whether the images tell much that the estimates don't.
    pub fn has_image_information(self) -> bool {
        !matches!(
            self,
            Self::RareImages | Self::Sizes | Self::AllDifferent | Self::NoNames
        )
    }
}

pub struct Task {
    pub queue: String,
    pub image: String,
    pub estimate_ms: u64,
    pub arrives_ms: u64,
    pub ms: f64,
    /// The median duration of such tasks on sound workers.
    pub typical_ms: f64,
    pub worker: u32,
    pub is_worker_slow: bool,
}

impl Task {
    pub fn kind(&self) -> Kind<'_> {
        Kind {
            queue: &self.queue,
            image: &self.image,
            estimate_ms: self.estimate_ms,
        }
    }
}

const TASKS: u64 = 4_000;
const IMAGES: usize = 40;
const RARE_IMAGES: usize = 1_000;
const WORKERS: u32 = 10;
/// The standard deviation of the logarithm of a log-normal variable that varies by half its mean.
const SPREAD: f64 = 0.472;
/// Two such factors, one of the image and one of the job, make an estimate of 10% to 190%.
const ESTIMATE: std::ops::Range<f64> = 0.32..1.38;

/// Returns a normally distributed number.
fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let sum: f64 = (0..12).map(|_| rng.random_range(0.0..1.0)).sum();
    sum - 6.0
}

struct Image {
    mean_ms: f64,
    bias: f64,
}

fn image(rng: &mut ChaCha8Rng) -> Image {
    Image {
        mean_ms: 100.0 * 200.0_f64.powf(rng.random_range(0.0..1.0)),
        bias: rng.random_range(ESTIMATE),
    }
}

/// Draws the tasks of a load in the order of their arrival.
pub fn draw(load: Load, seed: u64) -> Vec<Task> {
    let rng = &mut ChaCha8Rng::seed_from_u64(seed);
    let count = match load {
        Load::RareImages => RARE_IMAGES,
        _ => IMAGES,
    };
    let images: Vec<Image> = (0..count).map(|_| image(rng)).collect();
    let mut tasks = Vec::new();
    for number in 0..TASKS {
        // Some images are used much more than others.
        let chosen = (rng.random_range(0.0_f64..1.0).powi(2) * count as f64) as usize;
        let own = image(rng);
        let image = if load == Load::AllDifferent {
            &own
        } else {
            &images[chosen]
        };
        let size = if load == Load::Sizes {
            30.0_f64.powf(rng.random_range(-0.5..0.5))
        } else {
            1.0
        };
        let mean_ms = image.mean_ms * size;
        let mut typical_ms = mean_ms * (-SPREAD * SPREAD / 2.0).exp();
        let mut ms = typical_ms * (SPREAD * normal(rng)).exp();
        let job_factor = match load {
            Load::Sizes => rng.random_range(0.8..1.2),
            _ => rng.random_range(ESTIMATE),
        };
        if load == Load::LongTail && rng.random_bool(0.03) {
            ms *= 10.0;
        }
        if load == Load::Change && number >= TASKS / 2 && chosen.is_multiple_of(3) {
            ms *= 4.0;
            typical_ms *= 4.0;
        }
        let worker = rng.random_range(0..WORKERS);
        let is_worker_slow = load == Load::SickWorker && worker == 0;
        if is_worker_slow {
            ms *= 4.0;
        }
        tasks.push(Task {
            queue: match load {
                Load::TwoQueues => format!("queue-{}", number % 2),
                _ => "queue".to_owned(),
            },
            image: match load {
                Load::NoNames => String::new(),
                Load::AllDifferent => format!("image-{number}"),
                _ => format!("image-{chosen}"),
            },
            estimate_ms: match load {
                Load::EqualEstimates => 1_000,
                _ => (mean_ms * image.bias * job_factor) as u64 + 1,
            },
            arrives_ms: number * 20,
            ms: ms.max(1.0),
            typical_ms,
            worker,
            is_worker_slow,
        });
    }
    tasks
}
