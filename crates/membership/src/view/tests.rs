use super::*;

#[test]
fn digests_differ_with_the_views_and_differences_are_named() {
    let row = |name: &str, boot_id, present| ViewRow { name: name.into(), boot_id, present };
    let (ours, theirs) =
        (vec![row("a", 1, true), row("b", 2, true)], vec![row("a", 1, true), row("b", 0, false)]);
    assert_eq!(digest(&ours), digest(&ours.clone()));
    assert_ne!(digest(&ours), digest(&theirs));
    let divergence = ViewDivergence { peer: "c".into(), since: 0, ours, theirs };
    assert_eq!(divergence.differences(), ["b: there, started at 2 here, not there for c"]);
}
