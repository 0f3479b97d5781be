//! Headers and session tokens: written values are parsed back, invalid ones are refused.

mod support;

use arbtest::arbitrary::{Result, Unstructured};
use bramblewheel_core::context::CallContext;
use bramblewheel_core::event::{AdmissionLevel, Feedback};
use bramblewheel_core::headers::answer::{self, AnswerHeaders};
use bramblewheel_core::headers::fields::Fields;
use bramblewheel_core::headers::route_path::{AmbiguousPath, route_path};
use bramblewheel_core::headers::{
    HeaderError, HeaderList, MAX_HEADERS, MAX_TIMEOUT_MS, MAX_VALUE_LENGTH, context,
    may_come_from_outside, request,
};
use bramblewheel_core::session::{Session, SessionError, SessionKey, mint, verify};
use bramblewheel_types::{
    AttemptId, BundleVersion, CallId, Criticality, Millis, NotRunReason, Outcome, RequestId,
    headers as names,
};
use std::time::Duration;
use support::{at, for_seeds, operation, service, zone};

fn fields<'a>(list: &'a [(&'static str, String)]) -> std::result::Result<Fields<'a>, HeaderError> {
    Fields::collect(list.iter().map(|(name, value)| (*name, value.as_bytes())))
}

fn random_context(u: &mut Unstructured<'_>) -> Result<CallContext> {
    let has_key: bool = u.arbitrary()?;
    Ok(CallContext {
        request: RequestId(u.arbitrary()?),
        call: CallId(u.arbitrary()?),
        attempt: AttemptId(u.arbitrary()?),
        service: service(u.choose(&["a", "kassa", "a.b_c-9"])?),
        path: "/pay".to_owned(),
        criticality: *u.choose(&Criticality::ALL)?,
        deadline: at(5) + Duration::from_millis(u.int_in_range(0..=100_000)?),
        retry_tokens: u.arbitrary()?,
        depth: u.arbitrary()?,
        in_session: u.arbitrary()?,
        operation: has_key.then(|| operation("K-1:2/3")),
        may_have_run: u.arbitrary()?,
        bundle_version: BundleVersion(u.arbitrary()?),
    })
}

#[test]
fn contexts_and_answers_survive_a_round_trip() {
    for_seeds(300, 300, |u| {
        let written = random_context(u)?;
        let mut list = HeaderList::new();
        context::write(at(5), &written, &mut list);
        let read = fields(&list).and_then(|fields| context::parse(at(5), "/pay", &fields));
        assert_eq!(read, Ok(written));

        let reason = *u.choose(&NotRunReason::ALL)?;
        let retry_after = Millis(u.arbitrary()?);
        let refused = Outcome::NotRun {
            reason,
            retry_after,
        };
        let outcomes = [
            Outcome::Completed,
            Outcome::Failed,
            Outcome::Unknown,
            refused,
        ];
        let written = AnswerHeaders {
            attempt: AttemptId(u.arbitrary()?),
            outcome: *u.choose(&outcomes)?,
            feedback: Feedback {
                retry_tokens_spent: u.arbitrary()?,
                is_final: u.arbitrary()?,
                draining: u.arbitrary()?,
                load_percent: u.arbitrary()?,
                admission_level: AdmissionLevel {
                    criticality: *u.choose(&Criticality::ALL)?,
                    cohort: u.int_in_range(0..=127)?,
                },
            },
        };
        let mut list = HeaderList::new();
        answer::write(&written, &mut list);
        assert_eq!(
            fields(&list).and_then(|fields| answer::parse(&fields)),
            Ok(written)
        );
        Ok(())
    });
}

#[test]
fn arbitrary_values_are_parsed_or_refused_without_panic() {
    for_seeds(300, 600, |u| {
        let mut list = HeaderList::new();
        context::write(at(5), &random_context(u)?, &mut list);
        let index = u.choose_index(list.len())?;
        list[index].1 = u.arbitrary::<String>()?;
        if let Ok(fields) = fields(&list) {
            let _ = context::parse(at(5), "/", &fields);
            let _ = request::parse(&fields);
            let _ = answer::parse(&fields);
        }
        Ok(())
    });
}

#[test]
fn malformed_repeated_long_and_missing_headers_are_refused() {
    let parse = |list: &[(&'static str, String)]| fields(list).and_then(|f| request::parse(&f));
    let with = |name, value: &str| vec![(names::SERVICE, "a".to_owned()), (name, value.to_owned())];
    let malformed = |name: &str| Err(HeaderError::Malformed(name.to_owned()));
    assert!(parse(&with(names::RESEND, "3")).is_ok_and(|headers| headers.resend == 3));
    for (name, value) in [
        (names::RESEND, "+3"),
        (names::RESEND, "99999999999"),
        (names::TIMEOUT_MS, "-1"),
        (names::REQUEST_ID, "12"),
        (names::CRITICALITY, "urgent"),
        (names::PARENT, "zzzzzzzzzzzzzzzz"),
        (names::OPERATION_KEY, "with space"),
        (names::CALLER, "with space"),
    ] {
        assert_eq!(
            parse(&with(name, value)),
            malformed(name),
            "{name}: {value}"
        );
    }
    let key_only = with(names::OPERATION_KEY, "key");
    let missing = HeaderError::Missing(names::OPERATION_MINTED);
    assert_eq!(parse(&key_only), Err(missing));
    assert_eq!(parse(&[]), Err(HeaderError::Missing(names::SERVICE)));
    let twice = with(names::SERVICE, "a");
    let repeated = HeaderError::Repeated(names::SERVICE.to_owned());
    assert_eq!(parse(&twice), Err(repeated));
    let long = "x".repeat(MAX_VALUE_LENGTH + 1);
    let too_long = parse(&with(names::SESSION, &long));
    assert!(matches!(too_long, Err(HeaderError::TooLong { .. })));
    let long_caller = "x".repeat(request::MAX_CALLER_LENGTH + 1);
    let too_long = parse(&with(names::CALLER, &long_caller));
    assert!(matches!(too_long, Err(HeaderError::TooLong { .. })));
    let day = parse(&with(names::TIMEOUT_MS, "86400000")).map(|headers| headers.timeout);
    assert_eq!(day, Ok(Some(Duration::from_millis(MAX_TIMEOUT_MS))));
    let many: Vec<(String, String)> = (0..=MAX_HEADERS)
        .map(|index| (format!("bw-other-{index}"), "1".to_owned()))
        .collect();
    let collected = Fields::collect(many.iter().map(|(n, v)| (n.as_str(), v.as_bytes())));
    assert_eq!(collected.err(), Some(HeaderError::TooMany));
}

#[test]
fn answer_with_invalid_level_flag_or_outcome_is_malformed() {
    let answer = |name: &str, value: &'static str| {
        let mut list = [
            (names::ATTEMPT, "00000000000000ff"),
            (names::OUTCOME, "completed"),
            (names::TOKENS_SPENT, "0"),
            (names::LOAD, "0"),
            (names::ADMISSION_LEVEL, "normal/127"),
            (names::FINAL, "0"),
        ];
        let entry = list.iter_mut().find(|(known, _)| *known == name);
        entry.expect("the list contains the header").1 = value;
        let pairs = list.iter().map(|(name, value)| (*name, value.as_bytes()));
        Fields::collect(pairs).and_then(|fields| answer::parse(&fields))
    };
    assert!(answer(names::FINAL, "1").is_ok_and(|answer| answer.feedback.is_final));
    for (name, value) in [
        (names::ADMISSION_LEVEL, "normal/128"),
        (names::ADMISSION_LEVEL, "normal/+1"),
        (names::FINAL, "yes"),
        (names::OUTCOME, "perhaps"),
    ] {
        let malformed = Err(HeaderError::Malformed(name.to_owned()));
        assert_eq!(answer(name, value), malformed, "{name}: {value}");
    }
}

#[test]
fn endpoint_refusal_is_recognized_without_reason_or_retry_after() {
    let refusal = |list: &[(&'static str, &'static str)]| {
        let pairs = list.iter().map(|(name, value)| (*name, value.as_bytes()));
        answer::parse_refusal(&Fields::collect(pairs).expect("the headers are well formed"))
    };
    assert_eq!(refusal(&[(names::OUTCOME, "completed")]), None);
    let bare = refusal(&[(names::OUTCOME, "not-run"), (names::REASON, "siesta")]);
    assert!(bare.is_some_and(|bare| bare.reason.is_none() && bare.retry_after.is_none()));
    let full = refusal(&[
        (names::OUTCOME, "not-run"),
        (names::REASON, "draining"),
        (names::RETRY_AFTER_MS, "7"),
    ]);
    let full = full.expect("the headers state a refusal");
    assert_eq!(full.reason, Some(NotRunReason::Draining));
    assert_eq!(full.retry_after, Some(Millis(7)));
}

#[test]
fn paths_are_normalized_or_refused() {
    for (path, plain) in [
        ("/", "/"),
        ("/%70ay/", "/pay/"),
        ("/a%2fb", "/a%2Fb"),
        ("/~a%7Eb", "/~a~b"),
    ] {
        assert_eq!(route_path(path).as_deref(), Ok(plain));
    }
    for path in [
        "",
        "//pay",
        "/./pay",
        "/a/%2e%2E/pay",
        "/a//b",
        "/%7",
        "/%zz",
    ] {
        assert_eq!(route_path(path), Err(AmbiguousPath), "{path}");
    }
}

#[test]
fn external_callers_cannot_set_headers_between_daemons() {
    for name in [
        names::RETRY_TOKENS,
        names::DEPTH,
        names::IN_SESSION,
        names::ATTEMPT,
        "BW-Parent",
    ] {
        assert!(!may_come_from_outside(name), "{name}");
    }
    for name in [
        names::SERVICE,
        names::OPERATION_KEY,
        names::CALLER,
        "BW-Session",
        "accept",
    ] {
        assert!(may_come_from_outside(name), "{name}");
    }
    let spoofed = [
        (names::SERVICE, "a"),
        (names::PARENT, "zzz"),
        (names::DEPTH, "1"),
        (names::DEPTH, "2"),
    ];
    let pairs = spoofed
        .iter()
        .map(|(name, value)| (*name, value.as_bytes()));
    let fields = Fields::collect_from_outside(pairs).expect("spoofed headers are dropped");
    assert_eq!(fields.text(names::DEPTH), None);
    assert!(request::parse(&fields).is_ok_and(|headers| headers.parent.is_none()));
}

#[test]
fn sessions_survive_key_rotation_and_forged_tokens_are_refused() {
    let key = |id, byte| SessionKey::new(id, vec![byte; 32]).expect("the key is long enough");
    let session = Session {
        opened_at_unix_millis: 1_790_000_000_000,
        home_zone: zone("bergen-hall"),
        criticality: Criticality::Critical,
        random: 42,
    };
    let (old, new) = (key(1, 1), key(2, 2));
    let token = mint(&old, &session);
    assert_eq!(verify(&[new.clone(), old.clone()], &token), Ok(session));
    assert_eq!(
        verify(std::slice::from_ref(&new), &token),
        Err(SessionError::UnknownKey)
    );
    let forged = token.replace("bergen", "molden");
    assert_eq!(
        verify(std::slice::from_ref(&old), &forged),
        Err(SessionError::BadSignature)
    );
    let other_secret = key(1, 9);
    assert_eq!(
        verify(&[other_secret], &token),
        Err(SessionError::BadSignature)
    );
    let truncated = &token[..token.len() - 2];
    assert_eq!(
        verify(std::slice::from_ref(&old), truncated),
        Err(SessionError::BadSignature)
    );
    assert_eq!(
        verify(std::slice::from_ref(&old), ""),
        Err(SessionError::Malformed)
    );
    let long = "1:".repeat(200);
    assert_eq!(verify(&[old], &long), Err(SessionError::TooLong));
    assert!(SessionKey::new(3, vec![0; 31]).is_err());
}

/// Pins the headers between daemons, so that a rolling restart can mix program versions.
#[test]
fn headers_between_daemons_match_the_pinned_form() {
    let context = CallContext {
        request: RequestId(0xa1),
        call: CallId(0xb2),
        attempt: AttemptId(0xc3),
        service: service("kassa"),
        path: "/pay".to_owned(),
        criticality: Criticality::ALL[0],
        deadline: at(5) + Duration::from_millis(250),
        retry_tokens: 3,
        depth: 2,
        in_session: true,
        operation: Some(operation("K-1")),
        may_have_run: true,
        bundle_version: BundleVersion(7),
    };
    let mut written = HeaderList::new();
    context::write(at(5), &context, &mut written);
    assert_eq!(as_text(&written), CONTEXT_HEADERS);
    let answer = AnswerHeaders {
        attempt: AttemptId(0xc3),
        outcome: Outcome::NotRun {
            reason: NotRunReason::Overloaded,
            retry_after: Millis(120),
        },
        feedback: Feedback {
            retry_tokens_spent: 1,
            is_final: true,
            draining: true,
            load_percent: 80,
            admission_level: AdmissionLevel {
                criticality: Criticality::ALL[0],
                cohort: 5,
            },
        },
    };
    let mut written = HeaderList::new();
    answer::write(&answer, &mut written);
    assert_eq!(as_text(&written), ANSWER_HEADERS);
}

fn as_text(list: &HeaderList) -> Vec<String> {
    let line = |(name, value): &(&'static str, String)| format!("{name}: {value}");
    list.iter().map(line).collect()
}

const CONTEXT_HEADERS: [&str; 13] = [
    "bw-call-id: 00000000000000b2",
    "bw-service: kassa",
    "bw-retry-tokens: 3",
    "bw-depth: 2",
    "bw-bundle-version: 7",
    "bw-may-have-run: 1",
    "bw-operation-minted-ms: 1",
    "bw-attempt: 00000000000000c3",
    "bw-request-id: 000000000000000000000000000000a1",
    "bw-criticality: sheddable",
    "bw-timeout-ms: 250",
    "bw-in-session: 1",
    "bw-operation-key: K-1",
];

const ANSWER_HEADERS: [&str; 9] = [
    "bw-outcome: not-run",
    "bw-reason: overloaded",
    "bw-retry-after-ms: 120",
    "bw-attempt: 00000000000000c3",
    "bw-tokens-spent: 1",
    "bw-load: 80",
    "bw-admission-level: sheddable/5",
    "bw-final: 1",
    "bw-draining: 1",
];
