//! Messages between the project's own processes, their CBOR codec and framing.
