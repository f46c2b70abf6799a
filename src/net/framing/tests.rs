use super::*;

#[test]
fn a_head_with_a_length_and_a_coding_is_found_however_it_comes() {
    let found = |text: &str| {
        let bytes: Vec<&[u8]> = text.as_bytes().chunks(1).collect();
        let (mut whole, mut single) = (Heads::default(), Heads::default());
        let piecewise = bytes.into_iter().any(|b| single.ambiguous(b));
        assert_eq!(whole.ambiguous(text.as_bytes()), piecewise, "{text}");
        piecewise
    };
    let both = "POST / HTTP/1.1\r\ncontent-LENGTH: 4\r\nX: y\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert!(found(both));
    assert!(found("POST / HTTP/1.1\nTransfer-Encoding:chunked\nContent-Length:0\n\n"));
    // Behind another request in the same packet, with and without a body.
    assert!(found(&format!("GET / HTTP/1.1\r\n\r\n{both}")));
    assert!(found(&format!("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc{both}")));
    // One of them alone is fine, and bodies are not heads.
    assert!(!found("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nContent-Length: 3\r\n"));
    assert!(!found(
        "POST / HTTP/1.1\r\nContent-Length: 28\r\n\r\nTransfer-Encoding: chunked\r\nGET / HTTP/1.1\r\n\r\n"
    ));
    assert!(!found(&format!("GET /{} HTTP/1.1\r\nContent-Length: 0\r\n\r\n", "a".repeat(100))));
}
