use super::HeadScanner;

#[test]
fn head_with_length_and_transfer_coding_is_found_however_it_is_split() {
    let found = |text: &str| {
        let bytes: Vec<&[u8]> = text.as_bytes().chunks(1).collect();
        let (mut at_once, mut bytewise) = (HeadScanner::default(), HeadScanner::default());
        let piecewise = bytes
            .into_iter()
            .any(|byte| bytewise.finds_ambiguous_head(byte));
        assert_eq!(
            at_once.finds_ambiguous_head(text.as_bytes()),
            piecewise,
            "{text}"
        );
        piecewise
    };
    let both = "POST / HTTP/1.1\r\ncontent-LENGTH: 4\r\nX: y\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert!(found(both));
    assert!(found(
        "POST / HTTP/1.1\nTransfer-Encoding:chunked\nContent-Length:0\n\n"
    ));
    // After another request in the same read, with and without a body.
    assert!(found(&format!("GET / HTTP/1.1\r\n\r\n{both}")));
    assert!(found(&format!(
        "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc{both}"
    )));
    // Either header alone is valid, and bodies are not scanned as heads.
    assert!(!found(
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nContent-Length: 3\r\n"
    ));
    assert!(!found(
        "POST / HTTP/1.1\r\nContent-Length: 28\r\n\r\nTransfer-Encoding: chunked\r\nGET / HTTP/1.1\r\n\r\n"
    ));
    assert!(!found(&format!(
        "GET /{} HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
        "a".repeat(100)
    )));
}

/// Guards against a panic at a header line without a colon.
#[test]
fn length_line_without_a_colon_is_no_length() {
    let mut scanner = HeadScanner::default();
    assert!(!scanner.finds_ambiguous_head(b"POST / HTTP/1.1\r\nContent-Length\r\n\r\n"));
    assert!(!scanner.is_inside_head());
}

/// Guards against a scanner that skips the next head because it misses a length that is far from its name.
#[test]
fn length_behind_much_white_space_counts() {
    let hidden = "X: 1\r\nContent-Length: 9999\r\n\r\n";
    let length = hidden.len();
    let both = "POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n";
    for padding in [" ", "\t", "0"] {
        let padding = padding.repeat(200);
        let head = format!("POST / HTTP/1.1\r\nContent-Length:{padding}{length}\r\n\r\n");
        let mut scanner = HeadScanner::default();
        assert!(!scanner.finds_ambiguous_head(format!("{head}{hidden}").as_bytes()));
        assert!(scanner.finds_ambiguous_head(both.as_bytes()));
    }
}
