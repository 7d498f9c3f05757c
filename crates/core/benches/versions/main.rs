//! Figures for the choice of versions, each compared with its baselines in the
//! same run, with their range over several seeds:
//! `cargo bench -p fescuerack-core --bench versions [-- rollouts|cascade|sessions|poison|cost]`.

#[path = "../../tests/all/fleet.rs"]
mod fleet;

mod cascade;
mod cost;
mod poison;
mod rollouts;
mod sessions;

/// Seeds of each figure.
pub const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

/// Returns the mean with the minimum and the maximum.
///
/// # Panics
///
/// When there are more than `u32::MAX` values, which no figure has.
pub fn spread(values: &[f64]) -> String {
    let count = f64::from(u32::try_from(values.len()).expect("few values"));
    let mean = values.iter().sum::<f64>() / count;
    let min = values.iter().copied().fold(f64::INFINITY, f64::min);
    let max = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    format!("{mean:.2} ({min:.2}..{max:.2})")
}

fn main() {
    let filter: Vec<String> = std::env::args()
        .skip(1)
        .filter(|arg| !arg.starts_with('-'))
        .collect();
    let runs: [(&str, fn()); 5] = [
        ("cost", cost::run),
        ("rollouts", rollouts::run),
        ("cascade", cascade::run),
        ("sessions", sessions::run),
        ("poison", poison::run),
    ];
    for (name, run) in runs {
        if filter.is_empty() || filter.iter().any(|filter| filter == name) {
            println!("== {name}");
            run();
        }
    }
}
