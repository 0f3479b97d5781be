//! Heartbeats that come to a daemon but are not of the endpoint on its machine.
//!
//! What users saw: endpoints ran requests whose caller was named as a service that the machine where they began does
//! not run.

use crate::support::endpoint::{Act, ScriptedEndpoint};
use crate::support::{Mesh, eventually, identity};
use bramblewheel_decisions::machine_identity::IdentityMismatch;
use bramblewheel_protocol::control::{ReplyBody, RequestBody};
use bramblewheel_protocol::routing::{EndpointRecord, EndpointState};
use bramblewheel_proxy::control::registrar::EndError;
use bramblewheel_proxy::local::HeartbeatResult;
use bramblewheel_types::{EndpointId, ServiceName, ZoneName};
use http::StatusCode;

/// When the endpoint of the tests started, in Unix milliseconds.
const STARTED: u64 = 1_000_000;
/// Requests sent to one endpoint that must go on.
const REQUESTS: usize = 10;

/// A mesh of one daemon whose endpoint has said when it started.
async fn mesh_with_start() -> Mesh {
    let mut mesh = Mesh::start(1).await;
    mesh.restart_under_its_id(0, STARTED).await;
    let shared = mesh.daemons[0].shared().clone();
    let is_recorded = || {
        let record = shared.local.record();
        record.is_some_and(|record| record.endpoint.started() == Some(STARTED))
    };
    eventually(|| is_recorded() && shared.local.is_open()).await;
    mesh
}

/// A heartbeat under the id and start of the daemon's own endpoint that names another service.
fn of_another_service(mesh: &Mesh, service: &str, sequence: u64) -> EndpointRecord {
    let own = mesh.record(0, EndpointState::Ready, sequence);
    EndpointRecord {
        endpoint: own.endpoint.clone().started_at(Some(STARTED)),
        service: ServiceName::new(service).expect("a name"),
        ..own
    }
}

/// Sends a heartbeat to the daemon, whatever comes of it.
async fn send(mesh: &Mesh, record: EndpointRecord) {
    let registrar = mesh.daemons[0].registrar();
    if record.state == EndpointState::Ready {
        registrar.ready(record);
    } else {
        // Whether the group has recorded it does not matter here.
        let _ = registrar.end(record).await;
    }
}

/// Requests sent one after the other, all of which must be served with the name of the machine's service.
async fn assert_served(mesh: &Mesh, endpoint: &ScriptedEndpoint, case: &str) {
    for number in 0..20 {
        let id = format!("{case}-{number}");
        let answer = mesh.call(0, "/safe/item", &id).await.expect("an answer");
        assert_eq!(answer.status, StatusCode::OK, "{id}");
    }
    for arrival in endpoint.arrivals() {
        let caller = &arrival.headers["bw-caller-service"];
        assert_eq!(caller, "kassa", "{}", arrival.id);
    }
}

/// Endpoints ran requests that were said to come from a service which nobody runs. A heartbeat that names the service came to
/// the daemon where they began, under the id and start of its own endpoint; the daemon set the name of the last heartbeat
/// as the caller's, for all requests of its machine, until the endpoint's own next heartbeat.
///
/// Evidence: three replicas and two daemons as real processes, one such heartbeat: 42 of 232 requests renamed for 2.1 s, 116
/// of 232 to the end of the watch after a sequence number far ahead, none after headers that callers send themselves.
#[tokio::test]
async fn a_heartbeat_of_another_service_renames_no_request() {
    for (service, sequence) in [("nobody", 2), ("pris", 2), ("nobody", 1_000_000)] {
        let mesh = mesh_with_start().await;
        send(&mesh, of_another_service(&mesh, service, sequence)).await;
        assert_served(&mesh, &mesh.endpoints[0], service).await;
    }
}

/// One heartbeat that the endpoint did not send took it out of service, for callers at all daemons: its later start, its other
/// id, its end or its zone were kept as the newest of the endpoint before anything was compared with what the machine runs,
/// and the endpoint's own heartbeats counted as those of an earlier one.
///
/// Evidence: as real processes, requests to the service failed to the end of the watch, 4 to 6 s after the one heartbeat; here 20
/// of 20 failed after a later start, another id, draining, and 3 of 20 after another zone.
#[tokio::test]
async fn a_heartbeat_of_another_endpoint_takes_none_out_of_service() {
    let mesh = mesh_with_start().await;
    let foreign = || of_another_service(&mesh, "nobody", 2);
    let own_start = foreign().endpoint;
    let cases = [
        (
            "far-ahead",
            EndpointRecord {
                sequence: 1_000_000,
                ..foreign()
            },
        ),
        (
            "later-start",
            EndpointRecord {
                endpoint: own_start.clone().started_at(Some(2 * STARTED)),
                ..foreign()
            },
        ),
        (
            "other-id",
            EndpointRecord {
                endpoint: EndpointId::new("e-9").expect("a name"),
                ..foreign()
            },
        ),
        (
            "draining",
            EndpointRecord {
                state: EndpointState::Draining,
                ..foreign()
            },
        ),
        (
            "other-zone",
            EndpointRecord {
                service: ServiceName::new("kassa").expect("a name"),
                zone: ZoneName::new("south").expect("a name"),
                endpoint: EndpointId::new("e-8").expect("a name"),
                ..foreign()
            },
        ),
    ];
    let mut out_of_service = Vec::new();
    for (case, record) in cases {
        let mesh = mesh_with_start().await;
        send(&mesh, record).await;
        // The endpoint's own next heartbeat.
        let next = EndpointRecord {
            endpoint: own_start.clone(),
            ..mesh.record(0, EndpointState::Ready, 3)
        };
        send(&mesh, next).await;
        let mut failed = 0;
        for number in 0..20 {
            let id = format!("{case}-{number}");
            let answer = mesh.call(0, "/safe/item", &id).await.expect("an answer");
            failed += usize::from(answer.status != StatusCode::OK);
        }
        if failed > 0 {
            out_of_service.push(format!("{case}: {failed} of 20 failed"));
        }
    }
    assert!(out_of_service.is_empty(), "{out_of_service:#?}");
}

/// A daemon stood beside a service that its machine does not run from its start on: the control group held a record of it,
/// from a heartbeat of before, and the daemon took over what the group had recorded without comparing it with its settings.
///
/// Evidence: the record is put into the group while the daemon is down; before the fix the daemon names that service as its own
/// when it is ready.
#[tokio::test]
async fn a_foreign_record_does_not_come_back_at_a_restart() {
    restart_with_a_foreign_record(ReplicaMeanwhile::GoesOn).await;
}

/// The same with a record that the control replica reads from its data folder.
#[tokio::test]
async fn a_foreign_record_in_a_data_folder_does_not_come_back() {
    restart_with_a_foreign_record(ReplicaMeanwhile::Restarts).await;
}

/// What the control replica does while the daemon is down.
enum ReplicaMeanwhile {
    GoesOn,
    Restarts,
}

async fn restart_with_a_foreign_record(replica: ReplicaMeanwhile) {
    let mut mesh = mesh_with_start().await;
    let foreign = EndpointRecord {
        endpoint: EndpointId::new("e-9").expect("a name"),
        ..of_another_service(&mesh, "nobody", 1)
    };
    let own = EndpointRecord {
        endpoint: foreign.endpoint.clone(),
        ..mesh.record(0, EndpointState::Ready, 4)
    };
    drop(mesh.daemons.remove(0));
    let body = RequestBody::RegisterEndpoint(Box::new(foreign.clone()));
    let reply = mesh.control.request(&body, crate::support::PATIENCE).await;
    assert_eq!(
        reply.ok(),
        Some(ReplyBody::EndpointRegistered(EndpointState::Ready))
    );
    if let ReplicaMeanwhile::Restarts = replica {
        mesh.restart_replica().await;
    }
    let daemon = mesh.start_daemon(0, mesh.control.addresses()[0]).await;
    let shared = daemon.shared().clone();
    mesh.daemons.push(daemon);
    eventually(|| shared.is_ready()).await;
    let beside = shared.local.record().map(|record| record.service);
    assert_ne!(
        beside,
        Some(foreign.service),
        "it is not beside this daemon"
    );
    let next = EndpointRecord {
        endpoint: EndpointId::new("e-0")
            .expect("a name")
            .started_at(Some(STARTED)),
        address: shared.settings.inbound,
        ..own
    };
    send(&mesh, next).await;
    eventually(|| shared.local.is_open()).await;
    let kassa = ServiceName::new("kassa").expect("a name");
    eventually(|| shared.routing().directory.endpoint_count(&kassa) == 1).await;
    assert_served(&mesh, &mesh.endpoints[0], "restarted").await;
}

/// The machine goes to another service while its daemon runs: the settings say so. The new endpoint is served with its first
/// heartbeat, requests go out under its service's name, and nothing reaches the endpoint that was there, whose late heartbeats
/// change nothing.
#[tokio::test]
async fn a_machine_that_goes_to_another_service_is_served_with_its_first_heartbeat() {
    let mesh = Mesh::start(2).await;
    let (shared, registrar) = (mesh.daemons[0].shared(), mesh.daemons[0].registrar());
    registrar.set_identity(identity("pris"));
    assert!(!shared.local.is_open());
    let late = mesh.record(0, EndpointState::Ready, 9);
    let of_another = HeartbeatResult::OfAnotherMachine(IdentityMismatch::Service);
    assert_eq!(registrar.ready(late), of_another);
    let kassa = ServiceName::new("kassa").expect("a name");
    let endpoints_of = |service: &ServiceName| {
        let daemons = mesh.daemons.iter();
        let counts =
            daemons.map(|daemon| daemon.shared().routing().directory.endpoint_count(service));
        counts.collect::<Vec<_>>()
    };
    eventually(|| endpoints_of(&kassa) == [1, 1]).await;
    let new = ScriptedEndpoint::start("n-1").await;
    let record = EndpointRecord {
        endpoint: EndpointId::new("n-1").expect("a name"),
        service: ServiceName::new("pris").expect("a name"),
        endpoint_address: new.address,
        ..mesh.record(0, EndpointState::Ready, 1)
    };
    assert_eq!(registrar.ready(record.clone()), HeartbeatResult::Changed);
    eventually(|| shared.local.is_open()).await;
    eventually(|| endpoints_of(&record.service) == [1, 1]).await;
    for number in 0..10 {
        let id = format!("r-{number}");
        let answer = mesh.call(0, "/safe/item", &id).await.expect("an answer");
        assert_eq!(answer.status, StatusCode::OK, "{id}");
    }
    assert!(mesh.endpoints[0].arrivals().is_empty());
    for arrival in mesh.endpoints[1].arrivals() {
        assert_eq!(arrival.headers["bw-caller-service"], "pris");
    }
}

/// An endpoint deregisters at its daemon, which has started again and does not know it yet: it is recorded as gone, and the
/// endpoint of another daemon that somebody deregisters there is not.
#[tokio::test]
async fn a_deregistration_counts_for_endpoints_of_the_machine_only() {
    let mut mesh = Mesh::start(2).await;
    let elsewhere = EndpointId::new("e-1").expect("a name");
    let refused = mesh.daemons[0].registrar().deregister(elsewhere).await;
    assert_eq!(refused, Err(EndError::NotBesideThisDaemon));
    // Daemons prefer the endpoint on their machine, so that without its refusals the other one gets requests by chance only.
    mesh.endpoints[0].script(&vec![Act::NotRun; REQUESTS]);
    for number in 0..REQUESTS {
        let answer = mesh.call(0, "/safe/item", &format!("r-{number}")).await;
        assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    }
    assert_eq!(mesh.endpoints[1].arrivals().len(), REQUESTS, "it goes on");

    let own = EndpointId::new("e-0").expect("a name");
    drop(mesh.daemons.remove(0));
    let replica = mesh.control.addresses()[0];
    let daemon = mesh.start_daemon(0, replica).await;
    let mut ended = Err(EndError::NotRecorded);
    for _ in 0..20 {
        ended = daemon.registrar().deregister(own.clone()).await;
        if ended.is_ok() {
            break;
        }
    }
    assert_eq!(ended, Ok(()));
    let other = mesh.daemons[0].shared();
    let kassa = ServiceName::new("kassa").expect("a name");
    eventually(|| other.routing().directory.endpoint_count(&kassa) == 1).await;
}
