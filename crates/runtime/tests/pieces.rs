//! Bodies in pieces.

use egret_runtime::Pieces;

// Tiny parts each kept the whole buffer of their connection: 190 MB for 400 bodies of 65,000 bytes.
#[test]
fn push_tiny_parts() {
    let mut pieces = Pieces::default();
    let mut memory = 0;
    for byte in 0..65_000_u32 {
        let part = [byte.to_le_bytes()[0]];
        memory += pieces.growth(&part, None);
        pieces.push(&part, None);
    }
    assert_eq!(pieces.len(), 65_000);
    assert!(memory < 65_000 + 16 * 1024, "{memory} bytes of memory");
    let expected: Vec<u8> = (0..65_000_u32).map(|byte| byte.to_le_bytes()[0]).collect();
    assert_eq!(pieces.into_bytes(), expected);
}

#[test]
fn push_announced_length() {
    let body = vec![7; 50_000];
    let mut pieces = Pieces::default();
    let mut memory = 0;
    let mut remaining = body.len();
    for part in body.chunks(7001) {
        memory += pieces.growth(part, Some(remaining as u64));
        pieces.push(part, Some(remaining as u64));
        remaining -= part.len();
    }
    assert_eq!(memory, 50_000, "no memory beyond the announced length");
    assert_eq!(Vec::from(pieces.into_pieces()).concat(), body);
}

// memory is taken for what has come, and not for what was announced
#[test]
fn growth_of_large_announcement() {
    let pieces = Pieces::default();
    assert_eq!(pieces.growth(b"x", Some(1 << 40)), 1024);
}
