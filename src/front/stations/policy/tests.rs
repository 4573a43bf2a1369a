use super::*;

#[test]
fn permissions_follow_patterns() {
    let text = r#"
            [user.st]
            password = "$argon2id$x"
            clients = ["st-*"]
            publish = ["in/{client}/#"]
            subscribe = ["out/{client}/#", "news/+"]
            classes = ["flow-read"]
            tenants = ["acme"]
        "#;
    let policy = Policy::read(text).expect("a policy");
    let user = policy.user("st").expect("a user");
    assert!(user.may_use_client_id("st-7") && !user.may_use_client_id("xt-7"));
    assert!(user.may_publish("st-7", "in/st-7/a") && !user.may_publish("st-7", "in/st-8/a"));
    let subscribes = [
        ("out/st-7/#", true),
        ("out/st-7/+/b", true),
        ("out/st-7", true),
        ("out/+/a", false),
        ("out/#", false),
        ("#", false),
        ("news/a", true),
        ("news/+", true),
        ("news/#", false),
    ];
    for (filter, may) in subscribes {
        assert_eq!(user.may_subscribe("st-7", filter), may, "{filter}");
    }
    assert!(user.may_request("flow-read", Some("acme")) && user.may_request("flow-read", None));
    assert!(!user.may_request("alert-send", Some("acme")) && !user.may_request("flow-read", Some("other")));
}

#[test]
fn faults_in_users_file_are_reported_by_key() {
    let text = "[user.a]\npassword = \"secret\"\npublish = [\"a#\"]\n[user.b]\npasword = \"x\"";
    let faults = Policy::read(text).expect_err("faults");
    let keys: Vec<&str> = faults.0.iter().map(|f| f.key.as_str()).collect();
    assert!(
        ["user.a.password", "user.a.publish[0]", "user.b.pasword", "user.b.password"]
            .iter()
            .all(|k| keys.contains(k)),
        "{keys:?}"
    );
}
