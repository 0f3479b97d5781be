//! `fleet status`: the daemons registered at the control group.

use super::{send_request, unexpected_reply};
use crate::error::CommandError;
use crate::options::ControlQuery;
use crate::output::{HexNumber, Line};
use bramblewheel_protocol::control::{DaemonStatus, ReplyBody, RequestBody};

pub async fn status(query: &ControlQuery) -> Result<(), CommandError> {
    let body = RequestBody::FleetStatus;
    let reply = send_request(&query.control.0, &body, query.timeout.0).await?;
    let ReplyBody::FleetStatus(mut daemons) = reply else {
        return Err(unexpected_reply(&body));
    };
    daemons.sort_by(|a, b| a.registration.daemon.cmp(&b.registration.daemon));
    for daemon in &daemons {
        print_daemon(daemon);
    }
    Ok(())
}

fn print_daemon(daemon: &DaemonStatus) {
    let registration = &daemon.registration;
    let endpoint = registration.endpoint.as_ref();
    Line::default()
        .field("daemon", &registration.daemon)
        .field("incarnation", HexNumber(registration.incarnation))
        .field("region", &registration.region)
        .field("zone", &registration.zone)
        .optional("endpoint", endpoint.map(|endpoint| &endpoint.endpoint))
        .optional("service", endpoint.map(|endpoint| &endpoint.service))
        .optional("address", endpoint.map(|endpoint| endpoint.address))
        .optional("draining", endpoint.map(|endpoint| endpoint.draining))
        .field("bundle_version", daemon.bundle_version)
        .field("silent_ms", daemon.silent_for.0)
        .print();
}
