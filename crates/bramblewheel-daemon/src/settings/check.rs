//! Checks of the settings beyond their types.

use crate::settings::Settings;
use bramblewheel_process::settings::address_clash;

impl Settings {
    /// Key and reason of the first fault that the types do not rule out.
    pub(super) fn first_fault(&self) -> Option<(&'static str, String)> {
        self.missing_fault()
            .or_else(|| self.address_fault())
            .or_else(|| self.limit_fault())
    }

    fn missing_fault(&self) -> Option<(&'static str, String)> {
        if self.control.is_empty() {
            let reason = "at least one control replica is needed";
            return Some(("control", reason.to_owned()));
        }
        if self.endpoint.is_some() && self.listen.inbound.is_none() {
            let reason = "missing key `inbound`: a daemon with an endpoint needs it";
            return Some(("[listen]", reason.to_owned()));
        }
        if self.endpoint.is_none() && self.listen.inbound.is_some() {
            let reason = "a gateway (no `[endpoint]`) has no inbound listener";
            return Some(("inbound", reason.to_owned()));
        }
        None
    }

    fn address_fault(&self) -> Option<(&'static str, String)> {
        let inbound = self.listen.inbound.map(|address| ("inbound", address));
        let endpoint = self.endpoint.as_ref().map(|e| ("address", e.address));
        let listeners = [
            ("outbound", self.listen.outbound),
            ("admin", self.listen.admin),
        ];
        let named: Vec<_> = inbound
            .into_iter()
            .chain(listeners)
            .chain(endpoint)
            .collect();
        if let Some(clash) = address_clash(&named) {
            return Some(clash);
        }
        if let Some(address) = self.listen.inbound.filter(|a| a.ip().is_unspecified()) {
            let reason = format!("{address} can't be given to other daemons: name one address");
            return Some(("inbound", reason));
        }
        let to_connect = self.control.iter().map(|address| ("control", *address));
        to_connect
            .chain(endpoint)
            .find(|(_, address)| address.port() == 0)
            .map(|(key, address)| (key, format!("{address} has no port to connect to")))
    }

    fn limit_fault(&self) -> Option<(&'static str, String)> {
        /// The HTTP library's smallest read buffer.
        const LEAST_HEADER_BYTES: usize = 8192;
        if self.limits.header_bytes < LEAST_HEADER_BYTES {
            let reason = format!("at least {LEAST_HEADER_BYTES} bytes are needed");
            return Some(("header_bytes", reason));
        }
        let positive = [
            ("header_count", self.limits.header_count as u64),
            ("body_bytes", self.limits.body_bytes as u64),
            ("connections", self.limits.connections as u64),
            ("header_timeout_ms", self.limits.header_timeout_ms),
            ("body_timeout_ms", self.limits.body_timeout_ms),
        ];
        positive
            .into_iter()
            .find(|(_, value)| *value == 0)
            .map(|(key, _)| (key, "must be above zero".to_owned()))
    }
}
