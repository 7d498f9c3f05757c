//! Effects of configuration changes, as listed for an operator.

use fescuerack_config::effect::{Compiled, Kind, effects};
use fescuerack_config::{Folder, Merged};
use rstest::rstest;

use super::examples::example;

fn effects_between(before: &Folder, after: &Folder) -> Vec<(Kind, String)> {
    let merged = [before, after].map(|folder| Merged::new(folder).expect("no problems"));
    let sides = merged
        .each_ref()
        .map(|merged| Compiled::new(merged).expect("no problems"));
    let listed = effects(&sides[0], &sides[1]);
    listed
        .iter()
        .map(|effect| (effect.kind, effect.to_string()))
        .collect()
}

fn replaced(file: &str, old: &str, new: &str) -> Folder {
    let folder = example("hoivapolku");
    let text = String::from_utf8(folder.files[file].to_vec()).expect("text");
    assert!(text.contains(old), "{text}");
    folder.with_file(file, text.replacen(old, new, 1))
}

#[rstest]
#[case::share(
    "40-rollouts.yaml",
    "stage: 1",
    "stage: 2",
    Kind::Moves,
    "rollouts/kaisla-mini: new sessions on kaisla-mini@2: 20% (before: 5% on kaisla-mini@2)"
)]
#[case::weight(
    "50-organisations.yaml",
    "weight: 6",
    "weight: 7",
    Kind::Changes,
    "organisations/perhepalvelut-espoo: weight 6 to 7"
)]
#[case::loses(
    "50-organisations.yaml",
    "allow: [kaisla-mini, kaisla-max]",
    "allow: [kaisla-mini]",
    Kind::Loses,
    "versions/kaisla-max@1: lost by perhepalvelut-espoo"
)]
#[case::withdrawn(
    "10-models.yaml",
    "quality: {default: 0.93}",
    "quality: {default: 0.93}\n    state: withdrawn",
    Kind::Loses,
    "auto:vetting-summary: no version meets the target any more for "
)]
#[case::target(
    "30-targets.yaml",
    "quality: 0.8\n",
    "quality: 0.9\n",
    Kind::Moves,
    "auto:chat-reply: moves from kaisla-mini@1 to kaisla-max@1 for "
)]
#[case::server(
    "20-backends.yaml",
    "slots: 32",
    "slots: 32\n    retired: [kaisla-llm-1]",
    Kind::Loses,
    "backends/kaisla-llm: kaisla-llm-1 finishes its work and takes no more"
)]
fn effects_name_who_is_affected(
    #[case] file: &str,
    #[case] old: &str,
    #[case] new: &str,
    #[case] kind: Kind,
    #[case] expected: &str,
) {
    let listed = effects_between(&example("hoivapolku"), &replaced(file, old, new));
    let matching = listed.iter().find(|(_, text)| text.starts_with(expected));
    assert_eq!(matching.map(|(kind, _)| *kind), Some(kind), "{listed:#?}");
}

#[test]
fn effects_comment_has_none() {
    let after = replaced("30-targets.yaml", "targets:", "# Reviewed.\ntargets:");
    assert_eq!(effects_between(&example("hoivapolku"), &after), []);
}
