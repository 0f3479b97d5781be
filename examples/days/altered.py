#!/usr/bin/env python3
"""Plays the scale days of altered copies of a site on the users' bench: deployments that nobody has tuned for.

Usage: altered.py BENCH SITE [--copies N] [--first SEED] [--jobs N] [--days NAME,...]

Each copy is drawn by its seed: ranks of the classes in another order, one service narrow and another wide, another number of
calls in one place of the trees, and two faults on each day: one service rejects a part of what it gets, and another
loses a part of its answers. Prints a line for each day: passed, or what broke. Ends with 1 if a rule was broken.
"""

import argparse
import concurrent.futures
import pathlib
import random
import sys
import tempfile
import tomllib

import bench_run
from variants import dump

# Slots of the narrow service and of the wide one, as parts of what they are.
NARROW = (0.5, 0.8)
WIDE = (1.4, 2.0)
# Calls that one run may make in one place.
MOST_CALLS = 5


def permute_ranks(site, draw):
    classes = [entry for entry in site["classes"] if "priority" in entry]
    ranks = [entry["priority"] for entry in classes]
    draw.shuffle(ranks)
    for entry, rank in zip(classes, ranks):
        entry["priority"] = rank


def change_slots(site, draw):
    narrow, wide = draw.sample(site["services"], 2)
    narrow["slots"] = max(2, int(narrow["slots"] * draw.uniform(*NARROW)))
    wide["slots"] = int(wide["slots"] * draw.uniform(*WIDE))


def change_calls(site, draw):
    places = [call for entry in site["classes"] for call in entry.get("calls", [])]
    if places:
        draw.choice(places)["times"] = draw.randint(1, MOST_CALLS)


def add_faults(day, site, draw):
    rejecting, losing = (service["name"] for service in draw.sample(site["services"], 2))
    at = round(draw.uniform(3.0, 10.0), 1)
    day["faults"] = day.get("faults", []) + [
        {"kind": "srv_grey", "how": "shed all", "x": round(draw.uniform(0.2, 0.6), 2), "at": at, "for_s": 8.0, "service": rejecting},
        {"kind": "answer_lost", "how": "reset", "share": 1.0, "x": round(draw.uniform(0.05, 0.3), 2), "at": at, "for_s": 8.0, "service": losing},
    ]


def altered(source, seed):
    site = tomllib.loads(source.read_text())
    draw = random.Random(f"{source.stem} {seed}")
    permute_ranks(site, draw)
    change_slots(site, draw)
    change_calls(site, draw)
    for day in site["day"]:
        add_faults(day, site, draw)
    return site


def play(bench, source, folder, seed, day):
    target = folder / f"{source.stem}-altered-{seed}.toml"
    why = f"trial: deployments not seen: {source.stem} altered by seed {seed}, {day}"
    return f"seed {seed}", *bench_run.play(bench, target, day, why, ["--no-cpu"])


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("bench")
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("--copies", type=int, default=10)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--days", default="scale-1,scale-2")
    flags = parser.parse_args()
    seeds = range(flags.first, flags.first + flags.copies)
    with tempfile.TemporaryDirectory() as folder, concurrent.futures.ThreadPoolExecutor(flags.jobs) as pool:
        folder = pathlib.Path(folder)
        for wire in flags.site.parent.glob("*.json"):
            (folder / wire.name).write_bytes(wire.read_bytes())
        for seed in seeds:
            target = folder / f"{flags.site.stem}-altered-{seed}.toml"
            target.write_text(dump(altered(flags.site, seed)))
        runs = [(seed, day) for seed in seeds for day in flags.days.split(",")]
        played = pool.map(lambda run: play(flags.bench, flags.site, folder, *run), runs)
        has_broken = bench_run.print_all(played)
    sys.exit(1 if has_broken else 0)


if __name__ == "__main__":
    main()
