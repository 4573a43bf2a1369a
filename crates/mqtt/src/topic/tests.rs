use super::*;

#[test]
fn filters_match_as_in_the_examples_of_the_specification() {
    let table = [
        ("sport/tennis/player1/#", "sport/tennis/player1", true),
        ("sport/tennis/player1/#", "sport/tennis/player1/ranking", true),
        ("sport/tennis/player1/#", "sport/tennis/player1/score/wimbledon", true),
        ("sport/#", "sport", true),
        ("#", "any/thing", true),
        ("sport/tennis/+", "sport/tennis/player1", true),
        ("sport/tennis/+", "sport/tennis/player1/ranking", false),
        ("sport/+", "sport", false),
        ("sport/+", "sport/", true),
        ("+/+", "/finance", true),
        ("/+", "/finance", true),
        ("+", "/finance", false),
        ("#", "$SYS/monitor", false),
        ("+/monitor/Clients", "$SYS/monitor/Clients", false),
        ("$SYS/#", "$SYS/monitor", true),
        ("$SYS/monitor/+", "$SYS/monitor/Clients", true),
        ("ACCOUNTS", "Accounts", false),
        ("a//b", "a/b", false),
    ];
    for (filter, name, matches) in table {
        let filter = TopicFilter::parse(filter).expect("a filter");
        assert_eq!(filter.matches(name), matches, "{filter:?} {name}");
    }
}

#[test]
fn invalid_names_and_filters_report_the_violated_statement() {
    let filters = [
        ("", "MQTT-4.7.3-1"),
        ("a\0", "MQTT-4.7.3-2"),
        ("sport/tennis#", "MQTT-4.7.1-1"),
        ("sport/#/ranking", "MQTT-4.7.1-1"),
        ("sport+", "MQTT-4.7.1-2"),
        ("$share//a", "MQTT-4.8.2-1"),
        ("$share/a", "MQTT-4.8.2-2"),
        ("$share/a+/b", "MQTT-4.8.2-2"),
        ("$share/a/", "MQTT-4.7.3-1"),
    ];
    for (text, statement) in filters {
        assert_eq!(TopicFilter::parse(text).map_err(|v| v.statement), Err(statement), "{text}");
    }
    let shared = TopicFilter::parse("$share/g/a/+").expect("a filter");
    assert!(shared.share_name.as_deref() == Some("g") && shared.matches("a/b") && shared.has_wildcards());
    assert_eq!(check_name("a/+").map_err(|v| v.statement), Err("MQTT-3.3.2-2"));
    assert!(check_name("$SYS/a b/\u{e9}").is_ok());
    assert_eq!(check_name(&"a".repeat(MAX_TOPIC_BYTES + 1)).map_err(|v| v.statement), Err("MQTT-4.7.3-3"));
}
