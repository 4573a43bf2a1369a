//! What the budgets let one router do.

use super::*;

#[test]
fn a_budget_that_is_empty_bars_resends_and_never_first_tries() {
    let mut budget = Budget { resends: Some(Tokens { left: 1, ..Tokens::default() }), ..Budget::default() };
    assert!(budget.resend(false, 1.0) && budget.resend(true, 1.0) && !budget.resend(true, 1.0));
    let tokens = budget.resends.expect("a budget");
    assert_eq!((tokens.spent, tokens.wanted, budget.worth), (1, 2, 100));
    assert!(Budget::default().resend(true, 0.0) && Budget::default().order(), "no budget of the fleet");
}

#[test]
fn the_last_token_is_for_what_is_worth_most() {
    let mut budget = Budget { resends: Some(Tokens { left: 2, ..Tokens::default() }), ..Budget::default() };
    assert!(budget.resend(true, 0.5), "two are there");
    budget.resends = Some(Tokens { left: 2, ..Tokens::default() });
    assert!(budget.resend(true, 1.0) && budget.resend(true, 1.0) && !budget.resend(true, 1.0));
}
