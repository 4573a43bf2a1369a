use super::*;

const S: Micros = 1_000_000;

#[test]
fn each_leaving_soon_after_another_stays_longer_and_a_calm_time_forgets() {
    let (mut place, terms) = (Place::default(), Terms::default());
    let (mut now, mut stays) = (S, Vec::new());
    for _ in 0..7 {
        place.down(now, "a", 0, Reason::Gone, 0, &terms);
        stays.push(place.until - now);
        now = place.until + 3 * S;
    }
    assert!(stays.windows(2).take(4).all(|w| w[1] * 10 > w[0] * 15), "{stays:?}");
    assert!(stays.iter().all(|s| *s <= 16 * terms.stay * 5 / 4), "{stays:?}");
    place.down(now + CALM, "a", 0, Reason::Gone, 0, &terms);
    assert!(place.until - now - CALM <= terms.stay * 5 / 4);
    assert_eq!(place.epoch, 8);
}

#[test]
fn the_way_back_of_cold_workers_keeps_to_what_they_bear() {
    let (mut place, terms) = (Place::default(), Terms::default());
    place.down(S, "a", 0, Reason::Gone, 0, &terms);
    let mut now = place.until;
    let (began, mut steps) = (now, Vec::new());
    place.up(now, 0, &terms);
    while place.step < TOP {
        now += S / 20;
        let share = SHARES[usize::from(place.step)];
        assert!(place.bears(now, Pace::Cold, &terms) >= share, "{share} at {now}");
        if place.may_rise(now, Pace::Cold, &terms) {
            place.up(now, 0, &terms);
            steps.push((now - began) / 1_000);
        }
    }
    // 1.2 times (0.15 and 0.85 of 14 s) is a quarter after 0.96 s, a half after 4.4 s, all after 11.3 s.
    assert_eq!(steps, [1_000, 4_400, 11_300]);
    place.back = Some(now);
    assert_eq!(place.bears(now, Pace::Warm, &terms), 1_000);
}
