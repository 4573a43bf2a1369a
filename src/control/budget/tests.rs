//! Resend tokens of the fleet's budget, as one router spends them.

use super::*;

#[test]
fn empty_budget_denies_resends_but_not_first_attempts() {
    let mut budget =
        Budget { resend_tokens: Some(Tokens { available: 1, ..Tokens::default() }), ..Budget::default() };
    assert!(
        budget.take_resend(false, 1.0) && budget.take_resend(true, 1.0) && !budget.take_resend(true, 1.0)
    );
    let tokens = budget.resend_tokens.expect("a budget");
    assert_eq!((tokens.taken, tokens.requested, budget.max_resend_worth), (1, 2, 100));
    assert!(
        Budget::default().take_resend(true, 0.0) && Budget::default().take_load_order(),
        "without a budget of the fleet nothing is denied"
    );
}

#[test]
fn last_resend_token_is_reserved_for_the_highest_worth() {
    let mut budget =
        Budget { resend_tokens: Some(Tokens { available: 2, ..Tokens::default() }), ..Budget::default() };
    assert!(budget.take_resend(true, 0.5), "the second to last token is not reserved");
    budget.resend_tokens = Some(Tokens { available: 2, ..Tokens::default() });
    assert!(budget.take_resend(true, 1.0) && budget.take_resend(true, 1.0) && !budget.take_resend(true, 1.0));
}
