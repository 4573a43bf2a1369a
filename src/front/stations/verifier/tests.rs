use super::*;

#[test]
fn a_password_fits_its_own_hash_and_no_other() {
    let one = hash(b"secret", b"0123456789abcdef").expect("a hash");
    assert!(one.starts_with("$argon2id$") && verify(b"secret", &one));
    assert!(!verify(b"Secret", &one) && !verify(b"secret", "$argon2id$") && !verify(b"", ""));
    assert_ne!(hash(b"secret", b"0123456789abcdeX"), Some(one));
}
