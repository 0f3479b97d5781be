//! A daemon that serves no requests: it polls the control group, stores the bundle in force and refuses older bundles,
//! using the code of the real daemon.

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
/// Delay before a process that exited because of a disk failure is restarted.
const RESTART_AFTER: Duration = Duration::from_secs(1);

/// Time between two polls of an unsafe double.
const DOUBLE_PAUSE: Duration = Duration::from_millis(100);

/// Settings of a machine, fixed for the whole run.
#[derive(Clone, Debug)]
pub(super) struct DaemonSettings {
    /// Registration of the daemon; the incarnation is filled in at each start.
    pub(super) registration: Registration,
    pub(super) replicas: Vec<SocketAddr>,
    pub(super) double: Option<UnsafeDouble>,
}

/// A daemon together with its machine.
pub struct DaemonMachine {
    settings: DaemonSettings,
    disk: SimulatedDisk,
    random: Pcg64Mcg,
    incarnation: Option<Incarnation>,
}

/// State in memory of one incarnation of the process.
struct Incarnation {
    store: BundleStore<SimulatedDisk>,
    poll_state: PollState,
    choice: ReplicaChoice,
    registration: Registration,
    /// Id of the last poll; replies to earlier polls are ignored.
    last_poll: u64,
    is_awaiting_reply: bool,
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
                let bundle = incarnation
                    .poll_state
                    .bundle()
                    .map(|bundle| bundle_name(bundle));
                context.record(ControlRecord::DaemonOpened { bundle });
                self.incarnation = Some(incarnation);
                self.poll(context);
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
            poll_state: PollState::new(bundle),
            choice: ReplicaChoice::new(self.settings.replicas.clone(), incarnation),
            registration,
            // Replies to polls of an earlier incarnation must not match polls of this one.
            last_poll: u64::from(context.starts()) << 32,
            is_awaiting_reply: false,
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

    /// Sends a poll to the chosen replica.
    pub(super) fn poll(&mut self, context: &mut ActorContext<'_>) {
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        if incarnation.poll_state.bundle().is_none() {
            context.record(ControlRecord::DaemonAsksAnew);
        }
        incarnation.last_poll += 1;
        incarnation.is_awaiting_reply = true;
        let services = vec![bundles::service()];
        let mut poll = incarnation
            .poll_state
            .request(incarnation.registration.clone(), services);
        if self.settings.double == Some(UnsafeDouble::DaemonTakesOlder) {
            poll.position = LogPosition::default();
            poll.bundle_version = BundleVersion(1);
            poll.whole_bundle = true;
        }
        let request = ControlRequest {
            id: incarnation.last_poll,
            body: RequestBody::Poll(Box::new(poll)),
        };
        let to = address::process(incarnation.choice.address());
        context.send(to, ControlMessage::Request(Box::new(request)));
        let timer = ControlTimer::PollTimeout(incarnation.last_poll);
        context.set_timer(POLL_WAIT + POLL_GRACE, timer);
    }

    /// Handles a poll that got no reply in time or could not be delivered.
    pub(super) fn timed_out(&mut self, context: &mut ActorContext<'_>, id: u64) {
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        if incarnation.is_awaiting_reply && incarnation.last_poll == id {
            incarnation.choice.next_replica();
            incarnation.poll_later(context);
        }
    }

    pub(super) fn receive(&mut self, context: &mut ActorContext<'_>, reply: ControlReply) {
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        if !incarnation.is_awaiting_reply || incarnation.last_poll != reply.id {
            return;
        }
        match reply.body {
            ReplyBody::Poll(reply) => self.apply_reply(context, *reply),
            ReplyBody::Unavailable(reason) => {
                incarnation.choice.record_unavailable(&reason);
                incarnation.poll_later(context);
            }
            other => unreachable!("unexpected reply to a poll: {other:?}"),
        }
    }

    fn apply_reply(&mut self, context: &mut ActorContext<'_>, reply: PollReply) {
        let double = self.settings.double;
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        let new_bundle = match incarnation.check(&reply, double) {
            Ok(new_bundle) => new_bundle,
            Err(refused) => {
                let reason = refused.to_string();
                context.record(ControlRecord::DaemonRefused { reason });
                incarnation.choice.next_replica();
                return incarnation.poll_later(context);
            }
        };
        let mut in_force = None;
        if let Some(NewBundle { bundle, signed }) = new_bundle {
            if let Err(error) = incarnation.store.save(&signed) {
                let reason = error.to_string();
                context.record(ControlRecord::StorageFailed { reason });
                return incarnation.poll_later(context);
            }
            let name = bundle_name(&bundle);
            context.record(ControlRecord::DaemonInForce { bundle: name });
            in_force = Some(Arc::new(bundle));
        }
        if reply.position != incarnation.poll_state.position() {
            let index = reply.position.index;
            context.record(ControlRecord::DaemonSeen { index });
        }
        incarnation.poll_state.accept(&reply, in_force);
        incarnation.choice.record_success();
        if double == Some(UnsafeDouble::DaemonTakesOlder) {
            // This double always gets its reply at once, so it waits, and polls the replicas in turn.
            incarnation.choice.next_replica();
            return context.set_timer(DOUBLE_PAUSE, ControlTimer::Poll);
        }
        self.poll(context);
    }

    /// Disk of the machine, to inject faults.
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
                Ok(Some(decode_unchecked(offered)?))
            }
            _ => self.poll_state.check(reply),
        }
    }

    fn poll_later(&mut self, context: &mut ActorContext<'_>) {
        self.is_awaiting_reply = false;
        let pause = self.choice.pause();
        context.set_timer(pause, ControlTimer::Poll);
    }
}

fn decode_unchecked(offered: &SignedBundle) -> Result<NewBundle, RefusedReply> {
    Ok(NewBundle {
        bundle: decode(offered)?,
        signed: offered.clone(),
    })
}

fn bundle_name(bundle: &Bundle) -> BundleName {
    BundleName {
        version: bundle.version,
        digest: digest(&canonical::encode(bundle)),
    }
}
