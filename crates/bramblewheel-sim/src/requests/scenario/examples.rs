//! Example deployments that scenarios can name.

/// Texts of the deployment and the bundle of an example; `None` if the name is unknown.
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
