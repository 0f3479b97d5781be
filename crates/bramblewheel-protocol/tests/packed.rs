//! Packed texts: unpacked byte for byte, much shorter for configurations, limited in length.

use bramblewheel_protocol::packed::{MAX_TEXT_LENGTH, PackedText, UnpackError};

#[test]
fn a_packed_text_unpacks_byte_for_byte() {
    arbtest::arbtest(|bytes| {
        let text: Vec<u8> = bytes.arbitrary()?;
        assert_eq!(PackedText::pack(&text).unpack().expect("packed"), text);
        Ok(())
    })
    .seed(0x5eed_0000_1000)
    .run();
}

/// 868 routes, the size of a configuration that users put in force in one change.
#[test]
fn a_configuration_of_many_routes_packs_to_less_than_a_fifth() {
    let route = |number: u32| {
        let word = number.wrapping_mul(2_654_435_761);
        format!(
            "{{\"kind\":\"routes\",\"metadata\":{{\"name\":\"r-{word:x}\"}},\"spec\":{{\"host\":\
             \"h{word:x}.example\",\"prefix\":\"/{number}/\",\"kind\":\"safe\",\"timeout_millis\":6000,\
             \"objective_millis\":1500,\"rank\":2,\"service\":\"kassa\",\"max_attempts\":2}}}}"
        )
    };
    let text: Vec<String> = (0..868).map(route).collect();
    let text = text.join(",");
    let packed = PackedText::pack(text.as_bytes());
    assert!(
        packed.packed_bytes() * 5 < text.len(),
        "{}",
        packed.packed_bytes()
    );
}

#[test]
fn a_damaged_or_too_long_text_is_an_error() {
    let too_long = PackedText::pack(&vec![b' '; MAX_TEXT_LENGTH + 1]);
    assert!(matches!(too_long.unpack(), Err(UnpackError::TooLong)));
    let damaged: PackedText = ciborium::from_reader(&b"\x43\xff\xff\xff"[..]).expect("three bytes");
    assert!(matches!(damaged.unpack(), Err(UnpackError::Damaged(_))));
}
