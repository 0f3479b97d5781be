//! Reading of scripts; errors name file and line.

use super::{Action, Role, Script, Step, Target, Which};
use serde::Deserialize;
use std::ops::Range;
use std::time::Duration;
use thiserror::Error;
use toml::Spanned;

/// A script can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{file}:{line}: {message}")]
pub struct ScriptError {
    /// Name of the file.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// What is wrong.
    pub message: String,
}

/// A script as it is written.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ScriptText {
    seconds: Spanned<f64>,
    rate: Spanned<f64>,
    double_share: Spanned<f64>,
    #[serde(default, rename = "step")]
    steps: Vec<Spanned<StepText>>,
}

/// A step as it is written.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct StepText {
    at_ms: u64,
    action: Spanned<String>,
    target: Option<Spanned<String>>,
    for_ms: Option<Spanned<u64>>,
    factor: Option<Spanned<f64>>,
    rate: Option<Spanned<f64>>,
    every_ms: Option<Spanned<u64>>,
    times: Option<Spanned<u32>>,
}

/// What is wrong, and where in the text.
struct Fault {
    span: Range<usize>,
    message: String,
}

impl Fault {
    fn new(span: Range<usize>, message: impl Into<String>) -> Self {
        let message = message.into();
        Self { span, message }
    }
}

/// Reads and checks a script; `file` is the name used in errors.
///
/// # Errors
/// [`ScriptError`] for the first line that is wrong.
pub fn parse(file: &str, text: &str) -> Result<Script, ScriptError> {
    let located = |span: Range<usize>, message: String| ScriptError {
        file: file.to_owned(),
        line: line_of(text, span.start),
        message,
    };
    let written: ScriptText = toml::from_str(text).map_err(|error| {
        let span = error.span().unwrap_or_default();
        located(span, error.message().replace('\n', " "))
    })?;
    script(written, text).map_err(|fault| located(fault.span, fault.message))
}

fn line_of(text: &str, position: usize) -> usize {
    1 + text[..position].matches('\n').count()
}

fn script(written: ScriptText, text: &str) -> Result<Script, Fault> {
    let seconds = positive("seconds", &written.seconds)?;
    let share = *written.double_share.get_ref();
    if !(0.0..=1.0).contains(&share) {
        let span = written.double_share.span();
        return Err(Fault::new(span, "double_share: not between 0 and 1"));
    }
    let steps = written.steps.into_iter().map(|step| {
        let span = step.span();
        checked_step(step.into_inner(), span, text)
    });
    let script = Script {
        duration: Duration::from_secs_f64(seconds),
        rate: positive("rate", &written.rate)?,
        double_share: share,
        steps: steps.collect::<Result<_, _>>()?,
    };
    Ok(script)
}

fn checked_step(step: StepText, span: Range<usize>, text: &str) -> Result<Step, Fault> {
    let times = step.times.as_ref().map_or(1, |times| *times.get_ref());
    if times == 0 {
        let span = step.times.as_ref().map_or(span, Spanned::span);
        return Err(Fault::new(span, "times: at least once"));
    }
    if times > 1 && step.every_ms.is_none() {
        return Err(Fault::new(span, "every_ms: missing beside `times`"));
    }
    let line = line_of(text, step.action.span().start);
    let at = Duration::from_millis(step.at_ms);
    let every = step.every_ms.as_ref().map_or(0, |every| *every.get_ref());
    let fields = Fields { span, step };
    let action = fields.action()?;
    Ok(Step {
        line,
        at,
        times,
        every: Duration::from_millis(every),
        action,
    })
}

/// The fields of a step; each action takes its own, and any other is an error.
struct Fields {
    span: Range<usize>,
    step: StepText,
}

impl Fields {
    fn action(mut self) -> Result<Action, Fault> {
        use Role::{Daemon, Endpoint, Gateway, Replica};
        let all = [Replica, Daemon, Gateway, Endpoint];
        let name = self.step.action.get_ref().clone();
        let action = match name.as_str() {
            "kill" => Action::Kill {
                target: self.target(&all)?,
                down_for: self.time()?,
            },
            "stop" => Action::Stop {
                target: self.target(&[Replica, Daemon, Gateway])?,
                down_for: self.time()?,
            },
            "freeze" => Action::Freeze {
                target: self.target(&all)?,
                frozen_for: self.time()?,
            },
            "leave" => Action::Leave {
                target: self.target(&[Endpoint])?,
                away_for: self.time()?,
            },
            "slow" => Action::Slow {
                target: self.target(&[Endpoint])?,
                factor: self.number("factor", |step| step.factor.take())?,
                slow_for: self.time()?,
            },
            "replace" => Action::Replace {
                target: self.target(&[Replica])?,
            },
            "rolling-restart" => Action::RollingRestart {
                pause: self.time()?,
            },
            "surge" => Action::Surge {
                rate: self.number("rate", |step| step.rate.take())?,
                surge_for: self.time()?,
            },
            _ => {
                let known = "kill, stop, freeze, leave, slow, replace, rolling-restart or surge";
                let message = format!("action: unknown `{name}`: expected {known}");
                return Err(Fault::new(self.step.action.span(), message));
            }
        };
        self.check_unused(&name)?;
        Ok(action)
    }

    fn missing(&self, key: &str) -> Fault {
        let action = self.step.action.get_ref();
        Fault::new(self.span.clone(), format!("{key}: missing for `{action}`"))
    }

    fn target(&mut self, roles: &[Role]) -> Result<Target, Fault> {
        let text = self
            .step
            .target
            .take()
            .ok_or_else(|| self.missing("target"))?;
        let fault = |message: String| Fault::new(text.span(), format!("target: {message}"));
        let target = parse_target(text.get_ref()).map_err(fault)?;
        if roles.contains(&target.role) {
            return Ok(target);
        }
        let action = self.step.action.get_ref();
        Err(fault(format!(
            "`{}` can't be used with `{action}`",
            text.get_ref()
        )))
    }

    fn time(&mut self) -> Result<Duration, Fault> {
        let time = self
            .step
            .for_ms
            .take()
            .ok_or_else(|| self.missing("for_ms"))?;
        Ok(Duration::from_millis(time.into_inner()))
    }

    fn number(
        &mut self,
        key: &'static str,
        take: impl FnOnce(&mut StepText) -> Option<Spanned<f64>>,
    ) -> Result<f64, Fault> {
        let number = take(&mut self.step).ok_or_else(|| self.missing(key))?;
        positive(key, &number)
    }

    /// Whatever was not taken does not belong to the action.
    fn check_unused(&self, action: &str) -> Result<(), Fault> {
        let step = &self.step;
        let left = [
            ("target", step.target.as_ref().map(Spanned::span)),
            ("for_ms", step.for_ms.as_ref().map(Spanned::span)),
            ("factor", step.factor.as_ref().map(Spanned::span)),
            ("rate", step.rate.as_ref().map(Spanned::span)),
        ];
        let left = left.into_iter().find_map(|(key, span)| Some((key, span?)));
        match left {
            Some((key, span)) => Err(Fault::new(span, format!("{key}: not used by `{action}`"))),
            None => Ok(()),
        }
    }
}

fn positive(key: &str, number: &Spanned<f64>) -> Result<f64, Fault> {
    let value = *number.get_ref();
    if value.is_finite() && value > 0.0 {
        return Ok(value);
    }
    Err(Fault::new(
        number.span(),
        format!("{key}: must be above zero"),
    ))
}

fn parse_target(text: &str) -> Result<Target, String> {
    let (role, which) = text.split_once(':').ok_or("expected ROLE:WHICH")?;
    let role = match role {
        "replica" => Role::Replica,
        "daemon" => Role::Daemon,
        "gateway" => Role::Gateway,
        "endpoint" => Role::Endpoint,
        _ => return Err(format!("unknown role `{role}`")),
    };
    let which = match (role, which) {
        (_, "any") => Which::Any,
        (Role::Replica, "leader") => Which::Leader,
        (Role::Replica, "follower") => Which::Follower,
        (_, "") => return Err("nothing after the colon".to_owned()),
        (_, name) => Which::Named(name.to_owned()),
    };
    Ok(Target { role, which })
}
