//! Actor type of the control domain.

use super::daemon::DaemonMachine;
use super::disk::SimulatedDisk;
use super::message::{ControlMessage, ControlTimer};
use super::operator::Operator;
use super::record::ControlRecord;
use super::replica::ReplicaMachine;
use crate::kernel::{Actor, Context, ProcessId, StartCause, StopCause};

/// A process of the control domain together with its machine.
pub enum ControlActor {
    /// A control replica: the real node over a simulated disk.
    Replica(Box<ReplicaMachine>),
    /// A daemon that serves no requests.
    Daemon(Box<DaemonMachine>),
    /// An operator.
    Operator(Box<Operator>),
}

impl Actor for ControlActor {
    type Message = ControlMessage;
    type Timer = ControlTimer;
    type Record = ControlRecord;

    fn start(&mut self, context: &mut Context<'_, Self>, _cause: StartCause) {
        match self {
            Self::Replica(replica) => replica.start(context),
            Self::Daemon(daemon) => daemon.start(context),
            Self::Operator(operator) => operator.start(context),
        }
    }

    fn stop(&mut self, cause: StopCause) {
        match self {
            Self::Replica(replica) => replica.stop(cause),
            Self::Daemon(daemon) => daemon.stop(cause),
            Self::Operator(_) => {}
        }
    }

    fn receive(
        &mut self,
        context: &mut Context<'_, Self>,
        from: ProcessId,
        message: ControlMessage,
    ) {
        match (self, message) {
            (Self::Replica(replica), ControlMessage::Peer(envelope)) => {
                replica.receive_peer(context, *envelope);
            }
            (Self::Replica(replica), ControlMessage::Request(request)) => {
                replica.receive_request(context, from, *request);
            }
            (Self::Daemon(daemon), ControlMessage::Reply(reply)) => {
                daemon.receive(context, *reply);
            }
            (Self::Operator(operator), ControlMessage::Reply(reply)) => {
                operator.receive(context, from, *reply);
            }
            // The message was meant for an earlier process at the address.
            _ => {}
        }
    }

    fn timer(&mut self, context: &mut Context<'_, Self>, timer: ControlTimer) {
        match (self, timer) {
            (Self::Replica(replica), ControlTimer::Wake) => replica.wake(context),
            (Self::Daemon(daemon), ControlTimer::Poll) => daemon.poll(context),
            (Self::Daemon(daemon), ControlTimer::PollTimeout(id)) => {
                daemon.timed_out(context, id);
            }
            (Self::Operator(operator), ControlTimer::Task(task)) => operator.begin(context, task),
            (Self::Operator(operator), ControlTimer::RequestTimeout(id)) => {
                operator.timed_out(context, id);
            }
            (_, timer) => unreachable!("a process of this kind never sets {timer:?}"),
        }
    }

    fn undelivered(
        &mut self,
        context: &mut Context<'_, Self>,
        _to: ProcessId,
        message: ControlMessage,
    ) {
        match (self, message) {
            (Self::Daemon(daemon), ControlMessage::Request(request)) => {
                daemon.timed_out(context, request.id);
            }
            (Self::Operator(operator), ControlMessage::Request(request)) => {
                operator.timed_out(context, request.id);
            }
            _ => {}
        }
    }
}

impl ControlActor {
    /// The replica; `None` for other processes.
    pub(super) fn as_replica(&self) -> Option<&ReplicaMachine> {
        match self {
            Self::Replica(replica) => Some(replica),
            _ => None,
        }
    }

    /// Mutable replica, to inject faults; `None` for other processes.
    pub(super) fn as_replica_mut(&mut self) -> Option<&mut ReplicaMachine> {
        match self {
            Self::Replica(replica) => Some(replica),
            _ => None,
        }
    }

    /// The disk; `None` for operators.
    pub(super) fn disk(&self) -> Option<&SimulatedDisk> {
        match self {
            Self::Replica(replica) => Some(replica.disk()),
            Self::Daemon(daemon) => Some(daemon.disk()),
            Self::Operator(_) => None,
        }
    }

    /// The operator; `None` for other processes.
    pub(super) fn as_operator(&self) -> Option<&Operator> {
        match self {
            Self::Operator(operator) => Some(operator),
            _ => None,
        }
    }

    /// Mutable operator, to give it tasks; `None` for other processes.
    pub(super) fn as_operator_mut(&mut self) -> Option<&mut Operator> {
        match self {
            Self::Operator(operator) => Some(operator),
            _ => None,
        }
    }
}
