use super::{checker, violated};

#[test]
fn two_leaderships_under_one_token_are_a_violation() {
    let mut checker = checker();
    checker.on_leadership(1.0, 7, 0.5);
    checker.on_leadership(2.0, 7, 0.5);
    checker.on_leadership(3.0, 8, 2.5);
    assert!(violated(&checker).is_empty(), "each leadership has a token of its own");
    checker.on_leadership(4.0, 8, 3.5);
    assert_eq!(violated(&checker), ["unique_token"]);
}
