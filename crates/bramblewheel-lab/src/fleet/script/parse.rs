//! Parses fault scripts; errors give file and line.

use super::{Action, Role, Script, Selector, Step, Target};
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
    /// Line number, from 1.
    pub line: usize,
    /// Description of the error.
    pub message: String,
}

/// A script as parsed from TOML, before validation.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ScriptText {
    seconds: Spanned<f64>,
    rate: Spanned<f64>,
    double_share: Spanned<f64>,
    #[serde(default, rename = "step")]
    steps: Vec<Spanned<StepText>>,
}

/// A step as parsed from TOML, before validation.
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

/// An error with its position in the text.
struct SpannedError {
    span: Range<usize>,
    message: String,
}

impl SpannedError {
    fn new(span: Range<usize>, message: impl Into<String>) -> Self {
        let message = message.into();
        Self { span, message }
    }
}

/// Parses and validates a script; `file` is the name used in errors.
///
/// # Errors
/// [`ScriptError`] for the first invalid line.
pub fn parse(file: &str, text: &str) -> Result<Script, ScriptError> {
    let located = |span: Range<usize>, message: String| ScriptError {
        file: file.to_owned(),
        line: line_of(text, span.start),
        message,
    };
    let script: ScriptText = toml::from_str(text).map_err(|error| {
        let span = error.span().unwrap_or_default();
        located(span, error.message().replace('\n', " "))
    })?;
    checked_script(script, text).map_err(|error| located(error.span, error.message))
}

fn line_of(text: &str, position: usize) -> usize {
    1 + text[..position].matches('\n').count()
}

fn checked_script(script: ScriptText, text: &str) -> Result<Script, SpannedError> {
    let seconds = positive("seconds", &script.seconds)?;
    let share = *script.double_share.get_ref();
    if !(0.0..=1.0).contains(&share) {
        let span = script.double_share.span();
        return Err(SpannedError::new(
            span,
            "double_share: must be between 0 and 1",
        ));
    }
    let steps = script.steps.into_iter().map(|step| {
        let span = step.span();
        checked_step(step.into_inner(), span, text)
    });
    let script = Script {
        duration: Duration::from_secs_f64(seconds),
        rate: positive("rate", &script.rate)?,
        double_share: share,
        steps: steps.collect::<Result<_, _>>()?,
    };
    Ok(script)
}

fn checked_step(step: StepText, span: Range<usize>, text: &str) -> Result<Step, SpannedError> {
    let times = step.times.as_ref().map_or(1, |times| *times.get_ref());
    if times == 0 {
        let span = step.times.as_ref().map_or(span, Spanned::span);
        return Err(SpannedError::new(span, "times: must be at least 1"));
    }
    if times > 1 && step.every_ms.is_none() {
        return Err(SpannedError::new(
            span,
            "every_ms: missing, required when `times` is above 1",
        ));
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

/// The fields of a step. Each action takes the fields it uses; any other field is an error.
struct Fields {
    span: Range<usize>,
    step: StepText,
}

impl Fields {
    fn action(mut self) -> Result<Action, SpannedError> {
        use Role::{Daemon, Endpoint, Gateway, Replica};
        let all = [Replica, Daemon, Gateway, Endpoint];
        let name = self.step.action.get_ref().clone();
        let action = match name.as_str() {
            "kill" => Action::Kill {
                target: self.target(&all)?,
                down_for: self.duration()?,
            },
            "stop" => Action::Stop {
                target: self.target(&[Replica, Daemon, Gateway])?,
                down_for: self.duration()?,
            },
            "freeze" => Action::Freeze {
                target: self.target(&all)?,
                frozen_for: self.duration()?,
            },
            "leave" => Action::Leave {
                target: self.target(&[Endpoint])?,
                away_for: self.duration()?,
            },
            "slow" => Action::Slow {
                target: self.target(&[Endpoint])?,
                factor: self.number("factor", |step| step.factor.take())?,
                slow_for: self.duration()?,
            },
            "replace" => Action::Replace {
                target: self.target(&[Replica])?,
            },
            "rolling-restart" => Action::RollingRestart {
                pause: self.duration()?,
            },
            "surge" => Action::Surge {
                rate: self.number("rate", |step| step.rate.take())?,
                surge_for: self.duration()?,
            },
            _ => {
                let expected = "kill, stop, freeze, leave, slow, replace, rolling-restart or surge";
                let message = format!("action: unknown `{name}`: expected {expected}");
                return Err(SpannedError::new(self.step.action.span(), message));
            }
        };
        self.check_unused(&name)?;
        Ok(action)
    }

    fn missing(&self, key: &str) -> SpannedError {
        let action = self.step.action.get_ref();
        SpannedError::new(self.span.clone(), format!("{key}: missing for `{action}`"))
    }

    fn target(&mut self, roles: &[Role]) -> Result<Target, SpannedError> {
        let text = self
            .step
            .target
            .take()
            .ok_or_else(|| self.missing("target"))?;
        let invalid =
            |message: String| SpannedError::new(text.span(), format!("target: {message}"));
        let target = parse_target(text.get_ref()).map_err(invalid)?;
        if roles.contains(&target.role) {
            return Ok(target);
        }
        let action = self.step.action.get_ref();
        Err(invalid(format!(
            "`{}` can't be used with `{action}`",
            text.get_ref()
        )))
    }

    fn duration(&mut self) -> Result<Duration, SpannedError> {
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
    ) -> Result<f64, SpannedError> {
        let number = take(&mut self.step).ok_or_else(|| self.missing(key))?;
        positive(key, &number)
    }

    /// Fails if a field is left that the action does not use.
    fn check_unused(&self, action: &str) -> Result<(), SpannedError> {
        let step = &self.step;
        let unused = [
            ("target", step.target.as_ref().map(Spanned::span)),
            ("for_ms", step.for_ms.as_ref().map(Spanned::span)),
            ("factor", step.factor.as_ref().map(Spanned::span)),
            ("rate", step.rate.as_ref().map(Spanned::span)),
        ];
        let unused = unused
            .into_iter()
            .find_map(|(key, span)| Some((key, span?)));
        match unused {
            Some((key, span)) => Err(SpannedError::new(
                span,
                format!("{key}: not used by `{action}`"),
            )),
            None => Ok(()),
        }
    }
}

fn positive(key: &str, number: &Spanned<f64>) -> Result<f64, SpannedError> {
    let value = *number.get_ref();
    if value.is_finite() && value > 0.0 {
        return Ok(value);
    }
    Err(SpannedError::new(
        number.span(),
        format!("{key}: must be above zero"),
    ))
}

fn parse_target(text: &str) -> Result<Target, String> {
    let (role, selector) = text.split_once(':').ok_or("expected ROLE:WHICH")?;
    let role = match role {
        "replica" => Role::Replica,
        "daemon" => Role::Daemon,
        "gateway" => Role::Gateway,
        "endpoint" => Role::Endpoint,
        _ => return Err(format!("unknown role `{role}`")),
    };
    let selector = match (role, selector) {
        (_, "any") => Selector::Any,
        (Role::Replica, "leader") => Selector::Leader,
        (Role::Replica, "follower") => Selector::Follower,
        (_, "") => return Err("expected a name after the colon".to_owned()),
        (_, name) => Selector::Named(name.to_owned()),
    };
    Ok(Target { role, selector })
}
