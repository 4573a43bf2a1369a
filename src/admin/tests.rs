use super::*;

#[test]
fn each_request_parses_to_its_command_or_status() {
    let parse = |method: &str, path: &str| parse_command(&Asked { method: method.into(), path: path.into() });
    assert_eq!(parse("GET", "/_ready"), Ok(AdminCommand::Ready));
    assert_eq!(parse("GET", "/_peers"), Ok(AdminCommand::Peers));
    let leave = AdminCommand::Zone("zone-b".into(), Some((zones::Order::Leave, 90_000_000)));
    assert_eq!(parse("PUT", "/_zones/leave/zone-b/90"), Ok(leave));
    assert_eq!(parse("PUT", "/_zones/follow/zone-b"), Ok(AdminCommand::Zone("zone-b".into(), None)));
    assert_eq!(parse("PUT", "/_executors/detach/s-1"), Ok(AdminCommand::Detach("s-1".into())));
    assert_eq!(parse("PUT", "/_executors/attach/s%2D1"), Ok(AdminCommand::Attach("s-1".into())));
    let rejected = [
        ("PUT", "/_zones", 405),
        ("GET", "/_zones/leave/a/9", 405),
        ("PUT", "/_zones/leave/a/0", 400),
        ("PUT", "/_zones/leave/a", 400),
        ("PUT", "/_ready", 405),
        ("GET", "/_executors/detach/s", 405),
        ("PUT", "/_executors/detach/", 400),
        ("PUT", "/_executors/detach/a/b", 400),
        ("PUT", "/_executors/detach", 404),
        ("PUT", "/_executors/forget/s", 404),
        ("GET", "/", 404),
    ];
    for (method, path, status) in rejected {
        assert_eq!(parse(method, path).map_err(|(status, _)| status), Err(status), "{method} {path}");
    }
}
