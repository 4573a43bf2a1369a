use super::*;

#[test]
fn a_minority_carries_nothing() {
    for group in 1..=64 {
        for bad in 0..=group {
            for well in 0..=group - bad {
                let votes = Votes { group, well, gone: bad, ..Votes::default() };
                assert!(!votes.out() || bad > well, "{bad} against {well} of {group}");
                assert!(!votes.out() || bad * 4 >= group, "{bad} of {group}");
                assert!(!votes.out() || group == 1 || bad >= 2, "one alone of {group}");
            }
        }
    }
}
