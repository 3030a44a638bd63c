//! Base64, as the store's rows use it.

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode(bytes: &[u8]) -> String {
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..group.len()].copy_from_slice(group);
        let word = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for index in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * index)) as usize & 63];
            out.push(if index <= group.len() { char::from(digit) } else { '=' });
        }
    }
    out
}
