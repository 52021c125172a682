//! Tests of digests of requests and of parts of prompts.

use ebonyloft_router::request_digest::RequestDigest;
use ebonyloftd::gateway::digest::Digester;
use hyper::Method;

fn digest(key: &[u8], method: &Method, host: &str, path: &str, body: &[u8]) -> RequestDigest {
    Digester::new(key).request_digest("", method, host, &path.parse().expect("a path"), body)
}

#[test]
fn digest_depends_on_each_part_of_the_request() {
    let usual = digest(b"k", &Method::POST, "a.example", "/p/1?x=2", b"body");
    assert_eq!(usual, digest(b"k", &Method::POST, "a.example", "/p/1?x=2", b"body"));
    let others = [
        digest(b"other", &Method::POST, "a.example", "/p/1?x=2", b"body"),
        digest(b"k", &Method::PUT, "a.example", "/p/1?x=2", b"body"),
        digest(b"k", &Method::POST, "b.example", "/p/1?x=2", b"body"),
        digest(b"k", &Method::POST, "a.example", "/p/1?x=3", b"body"),
        digest(b"k", &Method::POST, "a.example", "/p/1?x=2", b"bodies"),
        digest(b"k", &Method::POST, "a.example", "/p/1?x=2b", b"ody"),
    ];
    assert!(others.iter().all(|other| *other != usual));
}

#[test]
fn display_form_is_eight_hex_digits() {
    let text = digest(b"k", &Method::GET, "a.example", "/", b"").to_string();
    assert_eq!(text.len(), 8);
    assert!(text.chars().all(|c| c.is_ascii_hexdigit()));
}

/// Guards against a part that is blamed for what the same id did at another model.
#[test]
fn digest_of_a_part_depends_on_its_model() {
    let part = |key: &[u8], model, id| Digester::new(key).part_digest(model, id);
    let usual = part(b"k", "m1", "5c1e07a2");
    assert_eq!(usual, part(b"k", "m1", "5c1e07a2"));
    let others = [
        part(b"other", "m1", "5c1e07a2"),
        part(b"k", "m", "15c1e07a2"),
        part(b"k", "m1", "5c1e07"),
    ];
    assert!(others.iter().all(|other| *other != usual));
    assert_eq!(usual.to_string().len(), 8);
}
