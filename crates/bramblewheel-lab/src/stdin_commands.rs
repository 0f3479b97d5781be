//! Lines on standard input, with which the fleet runner tells its processes what to do.
//!
//! The end of standard input means that the fleet runner is gone.

use std::str::FromStr;
use tokio::sync::mpsc;

/// Reads commands in a thread of its own; the channel closes at the end of standard input.
///
/// A line that is not a command is reported on standard error and skipped.
pub fn read<T>() -> mpsc::UnboundedReceiver<T>
where
    T: FromStr<Err = String> + Send + 'static,
{
    die_with_parent();
    let (sender, receiver) = mpsc::unbounded_channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lines() {
            let Ok(line) = line else { return };
            match line.parse() {
                Ok(command) => {
                    if sender.send(command).is_err() {
                        return;
                    }
                }
                Err(reason) => eprintln!("level=warning msg=\"bad command\" reason={reason:?}"),
            }
        }
    });
    receiver
}

/// Ends the process when standard input ends, or when the parent process dies.
pub fn end_with_parent() {
    die_with_parent();
    std::thread::spawn(|| {
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        std::process::abort();
    });
}

/// Covers a parent that dies while this process is stopped and reads nothing.
fn die_with_parent() {
    let kill = Some(rustix::process::Signal::KILL);
    if let Err(error) = rustix::process::set_parent_process_death_signal(kill) {
        eprintln!("level=warning msg=\"no parent death signal\" error={error:?}");
    }
}
