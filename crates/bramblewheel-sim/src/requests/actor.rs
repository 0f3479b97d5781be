//! The processes of a request simulation.

use super::callers::Callers;
use super::host::Host;
use super::ledger::LedgerService;
use super::message::{Message, Timer};
use super::record::Record;
use super::replica::Replica;
use super::scripted::ScriptedCallers;
use crate::kernel::{Actor, Context, ProcessId, StartCause, StopCause};

/// One process.
pub enum RequestActor {
    /// An endpoint with its daemon, or a gateway.
    Host(Box<Host>),
    /// The ledger of run-once operations.
    Ledger(LedgerService),
    /// The callers of one zone.
    Callers(Box<Callers>),
    /// The callers of one zone, which send what a script says.
    Scripted(Box<ScriptedCallers>),
    /// A control replica that holds the ledger.
    Replica(Box<Replica>),
}

impl Actor for RequestActor {
    type Message = Message;
    type Timer = Timer;
    type Record = Record;

    fn start(&mut self, context: &mut Context<'_, Self>, cause: StartCause) {
        match self {
            Self::Host(host) => host.start(context, cause),
            Self::Callers(callers) => callers.start(context),
            Self::Scripted(callers) => callers.start(context),
            Self::Replica(replica) => replica.start(context),
            Self::Ledger(_) => {}
        }
    }

    fn stop(&mut self, cause: StopCause) {
        match self {
            Self::Host(host) => host.stop(),
            Self::Replica(replica) => replica.stop(cause),
            Self::Ledger(_) | Self::Callers(_) | Self::Scripted(_) => {}
        }
    }

    fn is_disorderly(message: &Message) -> bool {
        message.is_disorderly()
    }

    fn receive(&mut self, context: &mut Context<'_, Self>, from: ProcessId, message: Message) {
        match self {
            Self::Host(host) => host.receive(context, from, message),
            Self::Callers(callers) => callers.receive(context, message),
            Self::Scripted(callers) => callers.receive(context, message),
            Self::Ledger(ledger) => ledger.receive(context, from, message),
            Self::Replica(replica) => replica.receive(context, from, message),
        }
    }

    fn timer(&mut self, context: &mut Context<'_, Self>, timer: Timer) {
        match self {
            Self::Host(host) => host.timer(context, timer),
            Self::Callers(callers) => callers.timer(context, timer),
            Self::Scripted(callers) => callers.timer(context, timer),
            Self::Ledger(ledger) => ledger.timer(context, &timer),
            Self::Replica(replica) => replica.wake(context),
        }
    }

    fn undelivered(&mut self, context: &mut Context<'_, Self>, to: ProcessId, message: Message) {
        match self {
            Self::Host(host) => host.undelivered(context, to, message),
            Self::Callers(callers) => callers.undelivered(context, message),
            Self::Scripted(callers) => callers.undelivered(context, message),
            Self::Ledger(_) | Self::Replica(_) => {}
        }
    }
}
