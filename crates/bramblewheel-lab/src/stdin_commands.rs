//! Commands that the fleet runner sends to its child processes, one line each on their standard input.
//!
//! End of input means that the fleet runner has exited.

use std::str::FromStr;
use tokio::sync::mpsc;

/// Reads commands on a separate thread; the channel closes at the end of standard input.
///
/// A line that can't be parsed is reported on standard error and skipped.
pub fn read<T>() -> mpsc::UnboundedReceiver<T>
where
    T: FromStr<Err = String> + Send + 'static,
{
    set_parent_death_signal();
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

/// Aborts the process when standard input ends or the parent process exits.
pub fn exit_with_parent() {
    set_parent_death_signal();
    std::thread::spawn(|| {
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        std::process::abort();
    });
}

/// Makes the kernel kill this process when its parent exits, which also covers a process that is stopped
/// (SIGSTOP) and does not read its standard input.
fn set_parent_death_signal() {
    let kill = Some(rustix::process::Signal::KILL);
    if let Err(error) = rustix::process::set_parent_process_death_signal(kill) {
        eprintln!("level=warning msg=\"can't set the parent-death signal\" error={error:?}");
    }
}
