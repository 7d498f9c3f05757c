//! Figures of the choice of versions, each against its baselines in the same
//! run, over several seeds with their spread:
//! `cargo bench -p fescuerack-core --bench versions [-- rollouts|cascade|sessions|poison|cost]`.

#[path = "../../tests/all/fleet.rs"]
mod fleet;

mod cascade;
mod cost;
mod poison;
mod rollouts;
mod sessions;

/// Seeds of every figure.
pub const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

/// Mean with the least and the greatest value.
///
/// # Panics
///
/// Never: a figure has few values.
pub fn spread(values: &[f64]) -> String {
    let count = f64::from(u32::try_from(values.len()).expect("few values"));
    let mean = values.iter().sum::<f64>() / count;
    let least = values.iter().copied().fold(f64::INFINITY, f64::min);
    let most = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    format!("{mean:.2} ({least:.2}..{most:.2})")
}

fn main() {
    let wanted: Vec<String> = std::env::args()
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
        if wanted.is_empty() || wanted.iter().any(|wanted| wanted == name) {
            println!("== {name}");
            run();
        }
    }
}
