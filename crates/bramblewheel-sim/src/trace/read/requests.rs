//! Reads the requests of a trace with their sends.

use super::head::flow_named;
use crate::requests::{CallPath, RouteIndex, RunDraws, Topology, ZoneIndex};
use crate::trace::error::TraceError;
use crate::trace::file::{RequestTable, SendTable};
use crate::trace::model::{Head, Request, Send};
use crate::trace::outcome::StatedOutcome;
use crate::trace::source::Source;
use bramblewheel_types::{RequestId, Timestamp, ZoneName};
use std::collections::BTreeSet;
use std::time::Duration;
use toml::Spanned;

/// Suffix of a run that ends in an error of the endpoint itself.
pub(in crate::trace) const FAILED: &str = "failed";

pub(super) fn read(
    source: &Source<'_>,
    tables: &[Spanned<RequestTable>],
    head: &Head,
) -> Result<Vec<Request>, TraceError> {
    let reader = Reader { source, head };
    let mut ids = BTreeSet::new();
    let mut requests = Vec::new();
    for table in tables {
        let request = reader.request(table)?;
        if !ids.insert(request.id) {
            let at = table.get_ref().id.span().start;
            return Err(source.error_at(at, 0, "id", "another request has this id"));
        }
        requests.push(request);
    }
    Ok(requests)
}

struct Reader<'a> {
    source: &'a Source<'a>,
    head: &'a Head,
}

impl Reader<'_> {
    fn topology(&self) -> &Topology {
        &self.head.deployment.value
    }

    fn request(&self, table: &Spanned<RequestTable>) -> Result<Request, TraceError> {
        let offset = table.span().start;
        let table = table.get_ref();
        let flow = flow_named(self.topology(), table.flow.get_ref()).ok_or_else(|| {
            let message = format!("no flow `{}`", table.flow.get_ref());
            self.source
                .error_at(table.flow.span().start, 0, "flow", message)
        })?;
        let route = self.topology().flows[flow.0].route;
        let mut sends: Vec<Send> = Vec::new();
        for send_table in &table.send {
            let send = self.send(send_table, route)?;
            if sends.last().is_some_and(|last| last.at > send.at) {
                let message = "must not be before the preceding send";
                let at = send_table.span().start;
                return Err(self.source.error(at, "at_us", message));
            }
            sends.push(send);
        }
        if sends.is_empty() {
            return Err(self
                .source
                .error(offset, "send", "at least one send is required"));
        }
        Ok(Request {
            id: self.request_id(&table.id)?,
            flow,
            caller: table.caller.clone(),
            deadline: table.deadline_ms.map(Duration::from_millis),
            criticality: table.criticality,
            in_session: table.session,
            operation: table.operation.clone(),
            sends,
        })
    }

    fn request_id(&self, text: &Spanned<String>) -> Result<RequestId, TraceError> {
        let parsed = text.get_ref().parse();
        parsed.map_err(|error| {
            let message = format!("`{}`: {error}", text.get_ref());
            self.source.error_at(text.span().start, 0, "id", message)
        })
    }

    fn send(&self, table: &Spanned<SendTable>, route: RouteIndex) -> Result<Send, TraceError> {
        let offset = table.span().start;
        let table = table.get_ref();
        let at = Timestamp(table.at_us);
        if at > self.head.ends {
            let message = "after the end of the replay (run_ms)";
            return Err(self.source.error(offset, "at_us", message));
        }
        let runs = table.runs.iter().map(|text| self.run(text, route));
        let from = table.from.as_ref().map(|zone| self.zone(zone, "from"));
        let id = table.id.as_ref().map(|id| self.request_id(id));
        Ok(Send {
            at,
            gateway: self.zone(&table.gateway, "gateway")?,
            from: from.transpose()?,
            id: id.transpose()?,
            resend: table.resend,
            deadline: table.deadline_ms.map(Duration::from_millis),
            outcome: self.outcome(table.outcome.as_ref(), "outcome")?,
            recorded: self.outcome(table.recorded.as_ref(), "recorded")?,
            runs: runs.collect::<Result<_, _>>()?,
        })
    }

    fn outcome(
        &self,
        text: Option<&Spanned<String>>,
        field: &str,
    ) -> Result<Option<StatedOutcome>, TraceError> {
        let Some(text) = text else {
            return Ok(None);
        };
        let at = text.span().start;
        let parsed: Result<StatedOutcome, _> = text.get_ref().parse();
        let outcome =
            parsed.map_err(|error| self.source.error_at(at, 0, field, error.to_string()))?;
        Ok(Some(outcome))
    }

    fn zone(&self, name: &Spanned<ZoneName>, field: &str) -> Result<ZoneIndex, TraceError> {
        let mut zones = self.topology().zones.iter();
        let position = zones.position(|zone| zone == name.get_ref());
        position.map(ZoneIndex).ok_or_else(|| {
            let message = format!("no zone `{}`", name.get_ref());
            self.source.error_at(name.span().start, 0, field, message)
        })
    }

    /// Parses a run: a position in the call tree, times in microseconds, and optionally `failed`.
    fn run(&self, text: &Spanned<String>, route: RouteIndex) -> Result<RunDraws, TraceError> {
        let invalid = |message: String| self.source.error_at(text.span().start, 0, "runs", message);
        let mut words: Vec<&str> = text.get_ref().split_whitespace().collect();
        let fails = words.last() == Some(&FAILED);
        if fails {
            words.pop();
        }
        let Some((position, times)) = words.split_first() else {
            return Err(invalid(
                "empty: expected a position such as root or 1.2, and times".to_owned(),
            ));
        };
        let path = self.path(position, route).map_err(invalid)?;
        let micros = |word: &&str| {
            let parsed = word.parse().map(Duration::from_micros);
            parsed.map_err(|_| invalid(format!("`{word}` is not a whole number of microseconds")))
        };
        Ok(RunDraws {
            path,
            work: times.iter().map(micros).collect::<Result<_, _>>()?,
            fails,
        })
    }

    fn path(&self, position: &str, route: RouteIndex) -> Result<CallPath, String> {
        let path: CallPath = position
            .parse()
            .map_err(|()| format!("`{position}` is not a position such as root or 1.2"))?;
        let mut route = &self.topology().routes[route.0];
        for call_index in path.positions() {
            let Some(call) = route.calls.get(call_index) else {
                let count = route.calls.len();
                let number = call_index + 1;
                let path = &route.path;
                return Err(format!(
                    "`{position}`: sub-call {number} of {path}, which makes {count} sub-calls"
                ));
            };
            route = &self.topology().routes[call.0];
        }
        Ok(path)
    }
}
