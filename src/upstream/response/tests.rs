use super::*;
use hyper::header::HeaderValue;

#[test]
fn only_the_mark_proves_that_a_request_never_ran() {
    let mark = |value: &'static str| {
        HeaderMap::from_iter([(
            "x-unprocessed".parse().unwrap(),
            HeaderValue::from_static(value),
        )])
    };
    assert_eq!(
        outcome(StatusCode::SERVICE_UNAVAILABLE, &mark("1")),
        Outcome::Overloaded
    );
    assert_eq!(
        outcome(StatusCode::GATEWAY_TIMEOUT, &mark("1")),
        Outcome::Overloaded
    );
    assert_eq!(
        outcome(StatusCode::SERVICE_UNAVAILABLE, &mark("0")),
        Outcome::Failure
    );
    assert_eq!(
        outcome(StatusCode::INTERNAL_SERVER_ERROR, &mark("1")),
        Outcome::Failure
    );
    assert_eq!(outcome(StatusCode::OK, &HeaderMap::new()), Outcome::Success);
}

#[test]
fn load_reports_are_read_by_name_and_garbage_is_none() {
    let read = |text: &'static str| {
        let headers = HeaderMap::from_iter([(
            "x-backend-load".parse().unwrap(),
            HeaderValue::from_static(text),
        )]);
        load(&headers, &[LoadField::Utilization, LoadField::InFlight])
    };
    assert_eq!(read("inflight=7,queue=2, util=0.61"), [0.61, 7.0]);
    let garbage = [
        "",
        "util",
        "util=,inflight=1",
        "util=NaN,inflight=1",
        "util=0.5",
        "util=-1,inflight=1",
    ];
    for garbage in garbage
        .into_iter()
        .chain(["util=0.5,inflight=1e300", "util=inf,inflight=1"])
    {
        assert!(read(garbage).is_empty(), "{garbage}");
    }
}
