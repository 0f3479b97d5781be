//! Compares encoded values with their recorded bytes.

use bramblewheel_protocol::codec::{self, LENGTH_PREFIX, MAX_CONTROL_FRAME};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::fmt::Debug;

const RECORDED: &str = include_str!("forms.txt");

/// Recorded bytes by the name of the form.
fn recorded() -> BTreeMap<&'static str, Vec<u8>> {
    let lines = RECORDED.lines().filter(|line| !line.starts_with('#'));
    let form = |line: &'static str| {
        let (name, digits) = line.split_once(' ').expect("a name and hexadecimal digits");
        (name, hex::decode(digits).expect("hexadecimal digits"))
    };
    lines.map(form).collect()
}

/// Collects forms that differ from the recorded ones, so that one run reports all of them.
#[derive(Default)]
pub struct Comparison {
    differing: Vec<String>,
}

impl Comparison {
    /// Compares a frame of the protocol: its bytes must equal the recorded ones, which must decode to the value.
    pub fn frame<T>(&mut self, name: &str, value: &T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        let written = codec::encode(value, MAX_CONTROL_FRAME).expect("short enough");
        self.bytes(name, &written);
        if let Some(bytes) = recorded().get(name) {
            match codec::decode::<T>(&bytes[LENGTH_PREFIX..]) {
                Ok(read) => assert_eq!(&read, value, "{name}: read as another value"),
                Err(error) => self.differing.push(format!("{name}: not read: {error}")),
            }
        }
    }

    /// Compares encoded bytes with the recorded ones.
    pub fn bytes(&mut self, name: &str, written: &[u8]) {
        if recorded().get(name).map(Vec::as_slice) != Some(written) {
            self.differing
                .push(format!("{name} {}", hex::encode(written)));
        }
    }

    /// Panics if any forms differ, and lists them as lines of `forms.txt`.
    pub fn finish(self) {
        let differing = self.differing.join("\n");
        assert!(
            differing.is_empty(),
            "forms that are not recorded:\n{differing}"
        );
    }
}

/// Bytes of a recorded form.
pub fn bytes_of(name: &str) -> Vec<u8> {
    let recorded = recorded().remove(name);
    recorded.unwrap_or_else(|| panic!("{name} is not recorded"))
}
