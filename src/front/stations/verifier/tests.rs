use super::*;

#[test]
fn password_matches_only_its_own_hash() {
    let hashed = hash(b"secret", b"0123456789abcdef").expect("a hash");
    assert!(hashed.starts_with("$argon2id$") && verify(b"secret", &hashed));
    assert!(!verify(b"Secret", &hashed) && !verify(b"secret", "$argon2id$") && !verify(b"", ""));
    assert_ne!(hash(b"secret", b"0123456789abcdeX"), Some(hashed));
}
