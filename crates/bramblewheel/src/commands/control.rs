//! `control status`, `bootstrap` and `replace`: the group of control replicas.

use super::{send_request, unexpected_reply};
use crate::error::CommandError;
use crate::files;
use crate::options::{BootstrapGroup, ControlQuery, ReplaceReplica};
use crate::output::{HexNumber, Line, list};
use bramblewheel_bundle::{digest, verify};
use bramblewheel_protocol::ControlClient;
use bramblewheel_protocol::codec::{MAX_CONTROL_FRAME, encode};
use bramblewheel_protocol::control::{
    BootstrapRequest, GroupStatus, ReplaceRequest, ReplicaAddress, ReplyBody, RequestBody,
    SignedBundle,
};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

pub async fn status(query: &ControlQuery) -> Result<(), CommandError> {
    let mut reached = false;
    for address in &query.control.0 {
        match group_status_once(*address, query.timeout.0).await {
            Ok(status) => {
                reached = true;
                print_status(*address, &status);
            }
            Err(error) => Line::default()
                .field("address", address)
                .field("reached", false)
                .field("reason", error)
                .print(),
        }
    }
    if reached {
        return Ok(());
    }
    let text = "no control replica could be reached".to_owned();
    Err(CommandError::Unreachable(text))
}

fn print_status(address: SocketAddr, status: &GroupStatus) {
    let names = |replicas: &[ReplicaAddress]| list(replicas.iter().map(|r| &r.name));
    Line::default()
        .field("address", address)
        .field("reached", true)
        .field("name", &status.replica.name)
        .field("replica", HexNumber(status.replica.replica))
        .optional("group", status.group.map(HexNumber))
        .field("role", role(status))
        .field("quorum", status.has_quorum)
        .optional("leader", status.leader.map(HexNumber))
        .field("term", status.term)
        .field("index", status.position.index)
        .field("voters", names(&status.voters))
        .field("learners", names(&status.learners))
        .print();
}

fn role(status: &GroupStatus) -> &'static str {
    let own = status.replica.replica;
    let contains = |replicas: &[ReplicaAddress]| replicas.iter().any(|r| r.replica == own);
    if status.group.is_none() {
        "uninitialized"
    } else if status.leader == Some(own) {
        "leader"
    } else if contains(&status.voters) {
        "voter"
    } else if contains(&status.learners) {
        "learner"
    } else {
        "removed"
    }
}

/// Sends one request without retries: a replica that is down is shown as such.
async fn group_status_once(address: SocketAddr, timeout: Duration) -> Result<GroupStatus, String> {
    let mut client = ControlClient::connect(address)
        .await
        .map_err(|error| error.to_string())?;
    match client.request(RequestBody::GroupStatus, timeout).await {
        Ok(ReplyBody::GroupStatus(status)) => Ok(status),
        Ok(ReplyBody::Unavailable(reason)) => Err(reason.to_string()),
        Ok(_) => Err("unexpected kind of reply".to_owned()),
        Err(error) => Err(error.to_string()),
    }
}

async fn group_status(address: SocketAddr, timeout: Duration) -> Result<GroupStatus, CommandError> {
    let body = RequestBody::GroupStatus;
    match send_request(&[address], &body, timeout).await? {
        ReplyBody::GroupStatus(status) => Ok(status),
        _ => Err(unexpected_reply(&body)),
    }
}

pub async fn bootstrap(options: &BootstrapGroup) -> Result<(), CommandError> {
    let bundle = load_self_signed_bundle(options)?;
    let mut statuses = Vec::new();
    for address in &options.replica {
        statuses.push(group_status(*address, options.timeout.0).await?);
    }
    let mut voters: Vec<ReplicaAddress> = statuses.iter().map(|s| s.replica.clone()).collect();
    voters.sort_by_key(|voter| voter.replica);
    check_voters(&voters)?;
    let request = BootstrapRequest {
        group: group_number(&voters, &bundle)?,
        voters,
        bundle,
    };
    for (address, status) in options.replica.iter().zip(&statuses) {
        check_uninitialized(*address, status, request.group)?;
    }
    for address in &options.replica {
        let body = RequestBody::Bootstrap(request.clone());
        match send_request(&[*address], &body, options.timeout.0).await {
            Ok(ReplyBody::Done) => {}
            Ok(_) => return Err(unexpected_reply(&body)),
            // Earlier replicas may already have joined the group.
            Err(CommandError::Unreachable(text)) => return Err(CommandError::Undecided(text)),
            Err(error) => return Err(error),
        }
    }
    Line::default()
        .field("result", "bootstrapped")
        .field("group", HexNumber(request.group))
        .field("voters", list(request.voters.iter().map(|v| &v.name)))
        .field("version", request.bundle.version)
        .field("digest", request.bundle.digest)
        .print();
    Ok(())
}

/// Reads the first bundle. It is verified against its own operators, since no earlier bundle names any.
fn load_self_signed_bundle(options: &BootstrapGroup) -> Result<SignedBundle, CommandError> {
    let loaded = files::load_signed(&options.bundle)?;
    let signed = loaded.signed;
    let pairs = signed.signatures.iter();
    let pairs = pairs.map(|s| (s.operator.as_str(), s.signature.as_slice()));
    verify(&loaded.bundle.operators, signed.digest, pairs)
        .map_err(|error| CommandError::Refused(format!("{}: {error}", options.bundle.display())))?;
    Ok(signed)
}

fn check_voters(voters: &[ReplicaAddress]) -> Result<(), CommandError> {
    if voters.is_empty() {
        return Err(CommandError::BadInput("no --replica given".to_owned()));
    }
    let names: BTreeSet<&str> = voters.iter().map(|voter| voter.name.as_str()).collect();
    let ids: BTreeSet<u64> = voters.iter().map(|voter| voter.replica).collect();
    if names.len() < voters.len() || ids.len() < voters.len() {
        let text = "two of the replicas have the same name or id".to_owned();
        return Err(CommandError::Refused(text));
    }
    Ok(())
}

/// Derives the group number from the voters' random identities and the signed bundle, so that repeating the
/// command continues the same bootstrap and any other command starts another group.
fn group_number(voters: &[ReplicaAddress], bundle: &SignedBundle) -> Result<u64, CommandError> {
    let bytes = encode(&(voters, bundle), MAX_CONTROL_FRAME)
        .map_err(|error| CommandError::BadInput(error.to_string()))?;
    let digest = digest(&bytes).0;
    let (first, _) = digest.split_first_chunk().expect("a digest has 32 bytes");
    Ok(u64::from_be_bytes(*first))
}

fn check_uninitialized(
    address: SocketAddr,
    status: &GroupStatus,
    group: u64,
) -> Result<(), CommandError> {
    match status.group {
        Some(other) if other != group => {
            let other = HexNumber(other);
            let text = format!("refused: {address} already belongs to group {other}");
            Err(CommandError::Refused(text))
        }
        _ => Ok(()),
    }
}

pub async fn replace(options: &ReplaceReplica) -> Result<(), CommandError> {
    let missing = || CommandError::BadInput("no --with given".to_owned());
    let address = options.with.ok_or_else(missing)?;
    let replacement = group_status(address, options.timeout.0).await?.replica;
    if replacement.replica == options.lost.0 {
        let text = "refused: the replacement is the same as the lost replica".to_owned();
        return Err(CommandError::Refused(text));
    }
    let line = Line::default()
        .field("result", "replaced")
        .field("lost", HexNumber(options.lost.0))
        .field("replacement", HexNumber(replacement.replica))
        .field("name", &replacement.name);
    let body = RequestBody::Replace(ReplaceRequest {
        lost: options.lost.0,
        replacement,
    });
    match send_request(&options.control.0, &body, options.timeout.0).await? {
        ReplyBody::Done => line.print(),
        _ => return Err(unexpected_reply(&body)),
    }
    Ok(())
}
