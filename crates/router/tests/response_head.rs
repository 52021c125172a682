//! The head of another response in a body that ends with its connection.

use ebonyloft_router::response_head::follows_in;
use proptest::prelude::*;

const HEAD: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 2\r\n\r\n{}";

proptest! {
    /// A head is found after any body, also if it is cut off after the protocol's name.
    #[test]
    fn a_head_is_found_after_any_body(body in proptest::collection::vec(any::<u8>(), 0..200), cut in 7..HEAD.len()) {
        let bytes = [&body, &HEAD.as_bytes()[..cut]].concat();
        prop_assert!(follows_in(&bytes));
    }

    /// In text whose line ends are escaped, as in JSON, no head is found.
    #[test]
    fn no_head_is_found_in_escaped_text(text in ".{0,200}") {
        let body = format!("{:?}", format!("HTTP/1.1 200 OK\r\n{text}"));
        prop_assert!(!follows_in(body.as_bytes()), "{}", body);
    }
}

#[test]
fn text_about_http_is_no_head() {
    for text in [
        "GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n",
        "HTTP/1.1 200 OK\nAttempt-Id: other\n\n",
        "the answer begins with HTTP/1.1 200 OK\r\nand a blank line ends its head\r\n",
        "HTTP/1.1 2000 years\r\nname: value\r\n",
        "\"HTTP/1.1 200 OK\\r\\n\"",
        "{\"text\":\"HTTP/1.1 200 OK\"}",
        "HTTP/2 200 OK\r\nname: value\r\n",
    ] {
        assert!(!follows_in(text.as_bytes()), "{text}");
    }
}

#[test]
fn heads_of_all_versions_and_without_reason_or_headers_are_found() {
    for text in [
        "HTTP/1.0 503 \r\n\r\n",
        "{}HTTP/1.1 200\r\nA: b\r\n\r\n",
        "HTTP/1.1 204 No Content\r\n\r\n",
    ] {
        assert!(follows_in(text.as_bytes()), "{text}");
    }
}
