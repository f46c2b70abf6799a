//! Parsing of records, which must accept the same values as the published schema.

use applewall_operator_config::Networks;

use super::{schema, MemberRecord};

#[test]
fn parser_and_published_schema_accept_the_same_values() {
    let schema = serde_json::from_str(&schema()).unwrap();
    let schema = jsonschema::validator_for(&schema).unwrap();
    let cases = [
        (r#"{"endpoint":"10.1.0.18:8443"}"#, true),
        (
            r#"{"endpoint":"[2001:db8::1]:80","az":"a","pod_group":3,"state":"terminating"}"#,
            true,
        ),
        (
            r#"{"endpoint":"10.1.0.18:8443","capacity_hint":1.5,"boot_ms":1700000000000}"#,
            true,
        ),
        (r#"{"az":"a"}"#, false),
        (r#"{"endpoint":"db.internal:80"}"#, false),
        (r#"{"endpoint":"10.1.0.18:8443","state":"resting"}"#, false),
        (r#"{"endpoint":"10.1.0.18:8443","capacity_hint":-1}"#, false),
        (r#"{"endpoint":"10.1.0.18:8443","pod_group":-2}"#, false),
        (r#"{"endpoint":"10.1.0.18:8443","wieght":1}"#, false),
        (r#"["10.1.0.18:8443"]"#, false),
    ];
    for (text, accepted) in cases {
        let record = MemberRecord::parse(text.as_bytes(), &Networks::default());
        assert_eq!(record.is_ok(), accepted, "{text}: {record:?}");
        assert_eq!(
            schema.is_valid(&serde_json::from_str(text).unwrap()),
            accepted,
            "schema: {text}"
        );
    }
    assert!(MemberRecord::parse(b"not JSON", &Networks::default()).is_err());
}

#[test]
fn address_outside_the_allowed_networks_is_rejected_also_in_ipv6_mapped_form() {
    let allowed = Networks(vec!["10.0.0.0/8".parse().unwrap()]);
    let parse = |endpoint: &str| {
        let text = format!(r#"{{"endpoint":"{endpoint}"}}"#);
        MemberRecord::parse(text.as_bytes(), &allowed)
            .map(|record| record.endpoint.port())
            .map_err(|error| error.to_string())
    };
    assert_eq!(parse("10.9.8.7:1"), Ok(1));
    assert_eq!(parse("[::ffff:10.9.8.7]:1"), Ok(1));
    for endpoint in ["192.0.2.1:1", "[::ffff:192.0.2.1]:1", "[2001:db8::1]:1"] {
        let error = parse(endpoint).unwrap_err();
        assert!(error.contains("outside the allowed networks"));
    }
    for endpoint in ["0.0.0.0:1", "224.0.0.1:1", "10.0.0.1:0"] {
        let error = parse(endpoint).unwrap_err();
        assert!(
            error.contains("is unspecified, multicast or has port 0"),
            "{endpoint}"
        );
    }
}
