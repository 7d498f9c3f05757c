//! `fescuerack completions`.

use clap::{Args, CommandFactory as _};
use clap_complete::{Shell, generate};

use super::Arguments;

/// Prints completions for a shell.
#[derive(Debug, Args)]
pub struct Completions {
    /// Shell.
    shell: Shell,
}

impl Completions {
    /// Prints the completions.
    pub fn execute(self) {
        let mut command = Arguments::command();
        let mut out = std::io::stdout();
        generate(self.shell, &mut command, "fescuerack", &mut out);
    }
}
