#!/usr/bin/env python3
"""Plays days of requests that end the endpoints which run them, on a site of the users' bench.

Usage: deadly.py BENCH SITE [--days N] [--first SEED] [--jobs N] [--no-cpu]

deploy/days/deadly.toml is one such day. Here the kind of request, its moment, its share and its length are drawn by the
seed, and every second day has two kinds or the same one twice. Prints a line for each day: passed, or what broke. Ends with 1 if a
rule was broken.
"""

import argparse
import concurrent.futures
import pathlib
import random
import sys
import tempfile
import tomllib

import bench_run


def drawn_fault(classes, draw):
    at = round(draw.uniform(0.5, 15.0), 2)
    share = round(draw.uniform(0.005, 0.06), 3)
    for_s = round(draw.uniform(4.0, 20.0), 1)
    name = draw.choice(classes)
    return f'{{ at = {at}, kind = "poison", how = "deadly", class = "{name}", share = {share}, for_s = {for_s} }}'


def day_text(site, seed):
    draw = random.Random(f"{site['name']} {seed}")
    classes = [entry["name"] for entry in site["classes"] if not entry.get("inner")]
    faults = [drawn_fault(classes, draw) for _ in range(1 + seed % 2)]
    return f'name = "deadly-{seed}"\nfaults = [\n  ' + ",\n  ".join(faults) + ",\n]\n"


def play(bench, source, options, folder, site, seed):
    day = folder / f"deadly-{seed}.toml"
    day.write_text(day_text(site, seed))
    why = f"requests that end endpoints, drawn by seed {seed}"
    return f"seed {seed}", *bench_run.play(bench, source, day, why, options)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("bench")
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("--days", type=int, default=4)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--no-cpu", action="store_true")
    flags = parser.parse_args()
    site = tomllib.loads(flags.site.read_text())
    options = ["--no-cpu"] if flags.no_cpu else []
    with tempfile.TemporaryDirectory() as folder, concurrent.futures.ThreadPoolExecutor(flags.jobs) as pool:
        seeds = range(flags.first, flags.first + flags.days)
        played = pool.map(lambda seed: play(flags.bench, flags.site, options, pathlib.Path(folder), site, seed), seeds)
        has_broken = bench_run.print_all(played)
    sys.exit(1 if has_broken else 0)


if __name__ == "__main__":
    main()
