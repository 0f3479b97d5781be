"""Runs one day on the users' bench and reads its verdict."""

import pathlib
import re
import subprocess

# Length at which a verdict is cut, in characters.
VERDICT_LENGTH = 120


def play(bench, site, day, why, options=()):
    """Plays a day (its name, or the path of a file); returns its verdict line and a line for each broken rule."""
    command = [bench, "run", str(site), str(day), "--why", why, *options]
    result = subprocess.run(command, capture_output=True, text=True)
    lines = (result.stdout + result.stderr).splitlines()
    name = pathlib.Path(day).stem
    verdict = next((line for line in lines if line.startswith(name)), " ".join(lines[-3:]))
    broken = [line for line in lines if re.match(r"[A-Z]+ at |rules broken", line)]
    return verdict[:VERDICT_LENGTH], broken


def print_all(played):
    """Prints verdicts as they come; returns whether a rule was broken."""
    has_broken = False
    for label, verdict, broken in played:
        print(f"{label}: {verdict}", *broken, sep="\n    ", flush=True)
        has_broken |= bool(broken)
    return has_broken
