//! Frames between controllers: fixed layout, damage refused.

use gladekeel_wire::{
    JobId,
    mesh::{Header, Kind, MAX_PAYLOAD, read_counts, write_counts},
};
use zerocopy::IntoBytes;

#[test]
fn headers_have_a_fixed_layout() {
    let header = Header::new(Kind::Relay, 0, 7, 1, 300);
    let bytes: [u8; Header::SIZE] = header.as_bytes().try_into().unwrap();
    assert_eq!(&bytes[..8], &[0x32, 0x6d, 0x6b, 0x67, 2, 0, 0, 0]);
    assert_eq!(Header::read(&bytes), Some((header, Kind::Relay)));
    let mut wrong = bytes;
    wrong[0] ^= 1;
    assert_eq!(Header::read(&wrong), None);
    let huge = Header::new(Kind::Relay, 0, 7, 1, MAX_PAYLOAD + 1);
    assert_eq!(Header::read(huge.as_bytes().try_into().unwrap()), None);
}

#[test]
fn counts_read_back_and_damage_is_refused() {
    let ids: Vec<JobId> = (0..3).map(|n| format!("job-{n}").parse().unwrap()).collect();
    let payloads = write_counts(ids.iter().zip(1..).map(|(id, n)| (id, n, n + 1)));
    let [payload] = payloads.as_slice() else { panic!("one is enough") };
    let rows = read_counts(payload).unwrap();
    assert_eq!(rows[2], (ids[2].clone(), 3, 4));
    for cut in 1..payload.len() {
        let whole = cut % (payload.len() / 3) == 0;
        assert_eq!(read_counts(&payload[..cut]).is_some(), whole, "cut at {cut}");
    }
}
