//! The example deployments that a scenario can name.

/// Deployment and bundle of an example.
pub(super) fn files_of(deployment: &str) -> Option<(&'static str, &'static str)> {
    macro_rules! example {
        ($name:literal) => {
            Some((
                include_str!(concat!(
                    "../../../../../examples/deployments/",
                    $name,
                    ".toml"
                )),
                include_str!(concat!("../../../../../examples/bundles/", $name, ".toml")),
            ))
        };
    }
    match deployment {
        "small" => example!("small"),
        "deep" => example!("deep"),
        "torgnett" => example!("torgnett"),
        "museum" => example!("museum"),
        _ => None,
    }
}
