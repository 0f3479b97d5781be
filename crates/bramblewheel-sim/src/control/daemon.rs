//! A daemon without requests: it polls, keeps the bundle in force, and refuses older ones, by the
//! real daemon's rules.

use super::actor::ControlActor;
use super::address;
use super::bundles;
use super::disk::SimulatedDisk;
use super::double::UnsafeDouble;
use super::message::{ControlMessage, ControlTimer};
use super::record::{BundleName, ControlRecord};
use crate::kernel::{Context, StopCause};
use bramblewheel_bundle::{Bundle, canonical, digest};
use bramblewheel_daemon::control::choice::ReplicaChoice;
use bramblewheel_daemon::control::poll_state::{POLL_GRACE, POLL_WAIT, PollState, RefusedReply};
use bramblewheel_daemon::control::store::{BundleStore, StoreError};
use bramblewheel_daemon::control::verify::{NewBundle, decode};
use bramblewheel_protocol::control::{
    BundleUpdate, ControlReply, ControlRequest, LogPosition, PollReply, Registration, ReplyBody,
    RequestBody, SignedBundle,
};
use bramblewheel_types::BundleVersion;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// Data folder on the simulated disk.
const FOLDER: &str = "data";
/// After how long a process that ended because of its disk is started again.
const RESTART_AFTER: Duration = Duration::from_secs(1);

/// How long a double waits until it asks again.
const DOUBLE_PAUSE: Duration = Duration::from_millis(100);

/// What does not change over the life of a machine.
#[derive(Clone, Debug)]
pub(super) struct DaemonSettings {
    /// What the daemon says of itself, apart from its incarnation.
    pub(super) registration: Registration,
    pub(super) replicas: Vec<SocketAddr>,
    pub(super) double: Option<UnsafeDouble>,
}

/// A daemon with its machine.
pub struct DaemonMachine {
    settings: DaemonSettings,
    disk: SimulatedDisk,
    random: Pcg64Mcg,
    incarnation: Option<Incarnation>,
}

/// What one start of the process has in memory.
struct Incarnation {
    store: BundleStore<SimulatedDisk>,
    intake: PollState,
    choice: ReplicaChoice,
    registration: Registration,
    /// The last question; an answer to another one is too late.
    asked: u64,
    is_waiting: bool,
}

type ActorContext<'a> = Context<'a, ControlActor>;

impl DaemonMachine {
    pub(super) fn new(settings: DaemonSettings, random: Pcg64Mcg) -> Self {
        let ignores_sync = settings.double == Some(UnsafeDouble::UnsyncedDaemon);
        Self {
            settings,
            disk: SimulatedDisk::new(ignores_sync),
            random,
            incarnation: None,
        }
    }

    pub(super) fn start(&mut self, context: &mut ActorContext<'_>) {
        match self.open(context) {
            Ok(incarnation) => {
                let bundle = incarnation.intake.bundle().map(|bundle| name(bundle));
                context.record(ControlRecord::DaemonOpened { bundle });
                self.incarnation = Some(incarnation);
                self.ask(context);
            }
            Err(error) => {
                let reason = error.to_string();
                context.record(ControlRecord::StorageFailed { reason });
                context.exit(Some(RESTART_AFTER));
            }
        }
    }

    fn open(&self, context: &mut ActorContext<'_>) -> Result<Incarnation, StoreError> {
        let store = BundleStore::open(self.disk.clone(), Path::new(FOLDER))?;
        let bundle = store.load()?.map(Arc::new);
        let incarnation = context.random().random();
        let mut registration = self.settings.registration.clone();
        registration.incarnation = incarnation;
        Ok(Incarnation {
            store,
            intake: PollState::new(bundle),
            choice: ReplicaChoice::new(self.settings.replicas.clone(), incarnation),
            registration,
            // Answers to an earlier start must not be taken for answers to this one.
            asked: u64::from(context.starts()) << 32,
            is_waiting: false,
        })
    }

    pub(super) fn stop(&mut self, cause: StopCause) {
        self.incarnation = None;
        if cause == StopCause::PowerLost {
            self.disk.files().crash(self.random.random());
        } else {
            self.disk.files().kill_process();
        }
    }

    /// Asks the replica chosen.
    pub(super) fn ask(&mut self, context: &mut ActorContext<'_>) {
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        if incarnation.intake.bundle().is_none() {
            context.record(ControlRecord::DaemonAsksAnew);
        }
        incarnation.asked += 1;
        incarnation.is_waiting = true;
        let services = vec![bundles::service()];
        let mut poll = incarnation
            .intake
            .request(incarnation.registration.clone(), services);
        if self.settings.double == Some(UnsafeDouble::DaemonTakesOlder) {
            poll.position = LogPosition::default();
            poll.bundle_version = BundleVersion(1);
            poll.whole_bundle = true;
        }
        let request = ControlRequest {
            id: incarnation.asked,
            body: RequestBody::Poll(Box::new(poll)),
        };
        let to = address::process(incarnation.choice.address());
        context.send(to, ControlMessage::Request(Box::new(request)));
        let timer = ControlTimer::PollTimeout(incarnation.asked);
        context.set_timer(POLL_WAIT + POLL_GRACE, timer);
    }

    /// No answer in time, or nobody listens.
    pub(super) fn timed_out(&mut self, context: &mut ActorContext<'_>, id: u64) {
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        if incarnation.is_waiting && incarnation.asked == id {
            incarnation.choice.next_replica();
            incarnation.ask_later(context);
        }
    }

    pub(super) fn receive(&mut self, context: &mut ActorContext<'_>, reply: ControlReply) {
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        if !incarnation.is_waiting || incarnation.asked != reply.id {
            return;
        }
        match reply.body {
            ReplyBody::Poll(reply) => self.take(context, *reply),
            ReplyBody::Unavailable(reason) => {
                incarnation.choice.record_unavailable(&reason);
                incarnation.ask_later(context);
            }
            other => unreachable!("a replica answers a poll with {other:?}"),
        }
    }

    fn take(&mut self, context: &mut ActorContext<'_>, reply: PollReply) {
        let double = self.settings.double;
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        let news = match incarnation.check(&reply, double) {
            Ok(news) => news,
            Err(refused) => {
                let reason = refused.to_string();
                context.record(ControlRecord::DaemonRefused { reason });
                incarnation.choice.next_replica();
                return incarnation.ask_later(context);
            }
        };
        let mut in_force = None;
        if let Some(NewBundle { bundle, signed }) = news {
            if let Err(error) = incarnation.store.save(&signed) {
                let reason = error.to_string();
                context.record(ControlRecord::StorageFailed { reason });
                return incarnation.ask_later(context);
            }
            let name = name(&bundle);
            context.record(ControlRecord::DaemonInForce { bundle: name });
            in_force = Some(Arc::new(bundle));
        }
        if reply.position != incarnation.intake.position() {
            let index = reply.position.index;
            context.record(ControlRecord::DaemonSeen { index });
        }
        incarnation.intake.accept(&reply, in_force);
        incarnation.choice.record_success();
        if double == Some(UnsafeDouble::DaemonTakesOlder) {
            // It always gets an answer at once, and asks all replicas in turn.
            incarnation.choice.next_replica();
            return context.set_timer(DOUBLE_PAUSE, ControlTimer::Poll);
        }
        self.ask(context);
    }

    /// The disk, to inject faults.
    pub(super) fn disk(&self) -> &SimulatedDisk {
        &self.disk
    }
}

impl Incarnation {
    fn check(
        &mut self,
        reply: &PollReply,
        double: Option<UnsafeDouble>,
    ) -> Result<Option<NewBundle>, RefusedReply> {
        match &reply.bundle {
            Some(BundleUpdate::Whole(offered))
                if double == Some(UnsafeDouble::DaemonTakesOlder) =>
            {
                Ok(Some(take_unseen(offered)?))
            }
            _ => self.intake.check(reply),
        }
    }

    fn ask_later(&mut self, context: &mut ActorContext<'_>) {
        self.is_waiting = false;
        let pause = self.choice.pause();
        context.set_timer(pause, ControlTimer::Poll);
    }
}

fn take_unseen(offered: &SignedBundle) -> Result<NewBundle, RefusedReply> {
    Ok(NewBundle {
        bundle: decode(offered)?,
        signed: offered.clone(),
    })
}

fn name(bundle: &Bundle) -> BundleName {
    BundleName {
        version: bundle.version,
        digest: digest(&canonical::encode(bundle)),
    }
}
