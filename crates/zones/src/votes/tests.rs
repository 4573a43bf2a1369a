use super::*;

#[test]
fn a_minority_carries_no_opinion() {
    for group in 1..=64 {
        for bad in 0..=group {
            for well in 0..=group - bad {
                let votes = Votes { group, well, gone: bad, ..Votes::default() };
                assert!(!votes.must_leave() || bad > well, "{bad} against {well} of {group}");
                assert!(!votes.must_leave() || bad * 4 >= group, "{bad} of {group}");
                assert!(!votes.must_leave() || group == 1 || bad >= 2, "a single vote of {group}");
            }
        }
    }
}
