//! `bundle publish` and `bundle status`.

use super::{send_request, unexpected_reply};
use crate::error::CommandError;
use crate::files;
use crate::options::{ControlQuery, PublishBundle};
use crate::output::{Line, list};
use bramblewheel_bundle::Bundle;
use bramblewheel_protocol::control::{PublishReply, ReplyBody, RequestBody, SignedBundle};

pub async fn publish(options: PublishBundle) -> Result<(), CommandError> {
    let mut signed = files::load_signed(&options.file)?.signed;
    if options.expected_parent.is_some() {
        signed.expected_parent = options.expected_parent;
    }
    let line = describe(&signed);
    let body = RequestBody::Publish(signed);
    let reply = send_request(&options.control.0, &body, options.timeout.0).await;
    if matches!(reply, Err(CommandError::Undecided(_))) {
        line.field("result", "undecided").print();
        return reply.map(drop);
    }
    match reply? {
        ReplyBody::Publish(reply) => report(line, reply),
        _ => Err(unexpected_reply(&body)),
    }
}

fn describe(signed: &SignedBundle) -> Line {
    Line::default()
        .field("version", signed.version)
        .field("digest", signed.digest)
}

fn report(line: Line, reply: PublishReply) -> Result<(), CommandError> {
    let (line, refusal) = match reply {
        PublishReply::Accepted { position } => {
            line.field("result", "accepted")
                .field("index", position.index)
                .field("term", position.term)
                .print();
            return Ok(());
        }
        PublishReply::Conflict { winner } => (
            line.field("result", "conflict").field("winner", winner),
            "another bundle has this version",
        ),
        PublishReply::Outdated { current } => (
            line.field("result", "outdated").field("current", current),
            "the version is not above the one in force",
        ),
        PublishReply::ParentMismatch { current, digest } => (
            line.field("result", "parent-mismatch")
                .field("current", current)
                .optional("current_digest", digest),
            "the expected parent is not the bundle in force",
        ),
        PublishReply::BadSignatures(reason) => (
            line.field("result", "bad-signatures")
                .field("reason", reason),
            "the signatures don't authorize the bundle",
        ),
        PublishReply::Invalid(reason) => (
            line.field("result", "invalid").field("reason", reason),
            "the bundle is not valid",
        ),
    };
    line.print();
    Err(CommandError::Refused(format!("refused: {refusal}")))
}

pub async fn status(query: &ControlQuery) -> Result<(), CommandError> {
    let body = RequestBody::BundleStatus;
    let reply = send_request(&query.control.0, &body, query.timeout.0).await?;
    let ReplyBody::BundleStatus(signed) = reply else {
        return Err(unexpected_reply(&body));
    };
    let Some(signed) = signed else {
        Line::default().optional("version", None::<u64>).print();
        return Ok(());
    };
    let bundle = Bundle::from_signed_bytes(&signed.bytes, signed.digest, signed.version)
        .map_err(|error| CommandError::Refused(format!("the bundle in force: {error}")))?;
    describe(&signed)
        .field("deployment", &bundle.deployment)
        .field("services", bundle.services.len())
        .field("operators", list(bundle.operators.keys.keys()))
        .field("required_signatures", bundle.operators.required_signatures)
        .field(
            "signed_by",
            list(signed.signatures.iter().map(|s| &s.operator)),
        )
        .print();
    Ok(())
}
