//! Variable-length encoding of integers: seven bits per byte, least significant first (LEB128),
//! with zigzag encoding for signed numbers.

/// Bits of the number in each byte.
const BITS: u32 = 7;
/// Flag set in every byte of a number but the last.
const CONTINUE: u8 = 1 << BITS;

/// Appends a number.
pub fn write_unsigned(out: &mut Vec<u8>, mut n: u64) {
    while n >= u64::from(CONTINUE) {
        out.push(n as u8 | CONTINUE);
        n >>= BITS;
    }
    out.push(n as u8);
}

/// Appends a signed number; numbers near zero are short.
pub fn write_signed(out: &mut Vec<u8>, n: i64) {
    write_unsigned(out, ((n << 1) ^ (n >> 63)) as u64);
}

/// Reads a number; `None` when the bytes end within it or it is longer than 64 bits.
pub fn read_unsigned(bytes: &mut &[u8]) -> Option<u64> {
    let mut n = 0_u64;
    for shift in (0..u64::BITS).step_by(BITS as usize) {
        let (first, rest) = bytes.split_first()?;
        *bytes = rest;
        n |= u64::from(first & !CONTINUE) << shift;
        if first & CONTINUE == 0 {
            return Some(n);
        }
    }
    None
}

/// Reads a signed number.
pub fn read_signed(bytes: &mut &[u8]) -> Option<i64> {
    let n = read_unsigned(bytes)?;
    Some((n >> 1) as i64 ^ -((n & 1) as i64))
}

/// Is a number zero? Zeros are left out of messages.
pub(crate) fn is_zero(sum: &u64) -> bool {
    *sum == 0
}

/// Is a flag unset? Unset flags are left out of messages.
pub(crate) fn is_false(flag: &bool) -> bool {
    !flag
}
