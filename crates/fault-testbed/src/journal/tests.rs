use super::*;

#[test]
fn a_written_journal_is_read_back_and_a_truncated_line_is_named() {
    let entries = vec![
        Entry {
            at_seconds: 0.5,
            event: Event::RequestSent {
                request: 7,
                ingress: 1,
                customer: 9,
            },
        },
        Entry {
            at_seconds: 0.75,
            event: Event::ResponseReceived {
                request: 7,
                status: Some(200),
            },
        },
    ];
    let mut text = Vec::new();
    write(&entries, &mut text).expect("written");
    assert_eq!(read(&text[..]).expect("read"), entries);
    let error = read(&text[..text.len() - 9]).expect_err("truncated");
    assert!(error.to_string().starts_with("line 2: "), "{error}");
}

/// Journals of earlier versions stay readable: the stored names are independent of the names in the code.
#[test]
fn stored_names_of_events_are_fixed() {
    let stored = [
        r#"{"Asked":{"request":1,"ingress":2,"customer":3}}"#,
        r#"{"Final":{"request":1,"status":200}}"#,
        r#"{"Unreached":{"request":1,"ingress":2}}"#,
        r#"{"Attempt":{"request":1,"instance":2,"ingress":3}}"#,
        r#"{"Over":{"request":1,"instance":2,"ingress":3}}"#,
        r#"{"Opened":{"instance":2,"ingress":3}}"#,
        r#"{"Life":{"instance":2,"cold":true}}"#,
        r#"{"Died":{"instance":2}}"#,
        r#"{"Fell":{"instance":2}}"#,
        r#"{"Call":{"ingress":3,"whole":true}}"#,
        r#"{"Listed":{"ingress":3,"whole":true,"status":200,"bytes":4,"rev":5}}"#,
        r#"{"Told":{"ingress":3,"instance":2}}"#,
        r#"{"Started":{"ingress":3,"known":5}}"#,
        r#"{"Ready":{"ingress":3}}"#,
        r#"{"Stopped":{"ingress":3,"on":true}}"#,
        r#"{"Killed":{"ingress":3}}"#,
        r#"{"Crashed":{"ingress":3,"status":"x"}}"#,
        r#"{"Fault":{"name":"cut","on":false}}"#,
        r#"{"Mail":{"ingress":3,"taken":4,"dropped":5}}"#,
        r#"{"Late":{"ms":6}}"#,
    ];
    for event in stored {
        let line = format!(r#"{{"at":0.5,"what":{event}}}"#);
        let entries = read(line.as_bytes()).expect(event);
        let mut written = Vec::new();
        write(&entries, &mut written).expect("written");
        assert_eq!(String::from_utf8_lossy(&written), line + "\n");
    }
}
