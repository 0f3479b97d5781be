//! Configuration bundles: model, checks, canonical bytes, digest and signatures.
