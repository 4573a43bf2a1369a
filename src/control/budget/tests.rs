//! Resend tokens of the fleet's budget, as one router spends them.

use super::*;

#[test]
fn empty_budget_denies_resends_but_not_first_attempts() {
    let mut budget = Budget { resends: Some(Tokens { left: 1, ..Tokens::default() }), ..Budget::default() };
    assert!(budget.resend(false, 1.0) && budget.resend(true, 1.0) && !budget.resend(true, 1.0));
    let tokens = budget.resends.expect("a budget");
    assert_eq!((tokens.spent, tokens.wanted, budget.worth), (1, 2, 100));
    assert!(
        Budget::default().resend(true, 0.0) && Budget::default().order(),
        "without a budget of the fleet nothing is denied"
    );
}

#[test]
fn last_resend_token_is_reserved_for_the_highest_worth() {
    let mut budget = Budget { resends: Some(Tokens { left: 2, ..Tokens::default() }), ..Budget::default() };
    assert!(budget.resend(true, 0.5), "the second to last token is not reserved");
    budget.resends = Some(Tokens { left: 2, ..Tokens::default() });
    assert!(budget.resend(true, 1.0) && budget.resend(true, 1.0) && !budget.resend(true, 1.0));
}
