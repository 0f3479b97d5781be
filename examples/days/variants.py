#!/usr/bin/env python3
"""Plays altered copies of a site file on the users' bench: deployments that nobody has tuned for.

Usage: variants.py BENCH SITE [--seed N] [--jobs N] [--only NAME,...]

Each variant is one copy in a temporary folder (nothing of it is kept but the journal's entries) and one
day: one of our own with three random kinds of trouble. Prints a line for each: passed, or what broke.
"""

import argparse
import concurrent.futures
import copy
import pathlib
import random
import shutil
import tempfile
import tomllib

import bench_run

# Kinds of trouble with the strengths that the bench's list of kinds allows, and their variants.
FAULTS = [
    ("burst", {"x": 1.6, "for_s": 5.0}, [""]),
    ("retry_abuse", {"x": 3.0, "share": 0.3, "for_s": 5.0}, [""]),
    ("give_up", {"share": 0.25, "for_s": 5.0}, [""]),
    ("srv_crash", {"share": 0.15, "for_s": 4.0}, ["", "dark", "gone", "dark gone"]),
    ("srv_slow", {"share": 0.2, "x": 5.0, "for_s": 6.0}, [""]),
    ("replace_with_reuse", {"share": 0.2}, ["", "drain", "dark"]),
    ("answer_lost", {"share": 0.5, "x": 0.05, "for_s": 5.0}, ["", "reset"]),
    ("garble", {"share": 0.5, "x": 0.05, "for_s": 5.0}, ["", "extra", "unframed", "early", "extra late"]),
    ("node_kill", {"share": 0.15, "for_s": 3.0}, ["", "power"]),
    ("node_kill", {"on": "core", "count": 1, "for_s": 3.0}, ["leader", "leader race drain", "meet drain"]),
    ("herd_kill", {"share": 0.5, "for_s": 2.0}, ["", "power"]),
    ("herd_kill", {"on": "core", "for_s": 1.0}, ["", "off", "taken"]),
    ("after_ack_kill", {"for_s": 3.0}, ["", "timed", "taken"]),
    ("after_ack_wipe", {"for_s": 3.0}, ["", "oldest"]),
    ("disk_full", {"count": 1, "for_s": 4.0}, [""]),
    ("disk_stall", {"count": 1, "for_s": 3.0}, [""]),
    ("disk_slow", {"count": 1, "for_s": 4.0}, [""]),
    ("reset_conns", {"share": 0.3, "x": 0.6}, [""]),
    ("core_cut", {"count": 1, "for_s": 4.0}, ["", "behind", "split", "all", "near", "one_way", "both", "leader race", "relieve"]),
    ("node_cut", {"share": 0.2, "for_s": 5.0}, ["", "all", "servers"]),
    ("lossy", {"x": 0.03, "for_s": 5.0}, [""]),
    ("node_freeze", {"share": 0.15, "for_s": 3.0}, [""]),
    ("node_freeze", {"on": "core", "count": 1, "for_s": 3.0}, ["leader"]),
    ("node_slow", {"share": 0.15, "for_s": 4.0}, [""]),
    ("replace_core", {}, ["", "planned"]),
    ("seed_turnover", {}, [""]),
    ("clock_step", {"share": 0.3, "for_s": 5.0}, ["back", "ahead"]),
    ("ack_lost", {"x": 0.6, "for_s": 8.0}, [""]),
]
PLAN = [
    ("release", {"share": 0.5, "x": 1.0, "gap_s": 1.0}, [""]),
    ("scale_in", {"share": 0.15}, ["", "spot"]),
    ("scale_out", {"share": 0.25, "gap_s": 2.0}, [""]),
    ("roll_term", {"share": 0.5, "x": 1.0, "gap_s": 1.3}, ["", "busy"]),
    ("config_change", {}, ["route", "weights", "timeout", "idle"]),
    ("config_storm", {"for_s": 4.0, "gap_s": 0.3}, [""]),
    ("config_race", {"count": 3, "gap_s": 1.0}, [""]),
    ("bad_config", {"count": 4, "gap_s": 0.5}, [""]),
    ("hup", {"share": 0.5, "gap_s": 2.0}, [""]),
]
CLOSINGS = [
    {"kind": "power_off_all", "down_s": 0.8},
    {"kind": "wipe_after_ack", "down_s": 1.0, "how": "timed"},
    {"kind": "kill_all", "down_s": 0.6},
]
# Part of the traffic's time in which troubles begin.
LAST_BEGIN_S = 22.0


def scale_traffic(site, factor):
    for day in [site, *site["day"]]:
        for traffic in day.get("traffic", []):
            traffic["per_s"] = round(traffic["per_s"] * factor, 2)


def sides(site):
    return [machine for machine in site["machines"] if machine["class"] != "core"]


def cores(site):
    return [machine for machine in site["machines"] if machine["class"] == "core"]


def grow_sides(site):
    for machine in sides(site):
        machine["count"] += 1
    scale_traffic(site, 1.5)


def drop_a_core(site):
    """Three core machines where there were four, or two in one zone where there were three."""
    if len(cores(site)) > 3:
        site["machines"].remove(cores(site)[-1])
    else:
        cores(site)[0]["count"] += 1


def five_cores(site):
    missing = 5 - sum(machine["count"] for machine in cores(site))
    for machine in cores(site)[: max(missing, 0)]:
        machine["count"] += 1


def slots(site, factor):
    for service in site["services"]:
        service["slots"] = max(2, int(service["slots"] * factor))


def core_disk(site, **changes):
    for machine in cores(site):
        machine["disk"] |= changes


def weaker(site):
    for machine in site["machines"]:
        machine["cpu_share"] = round(machine["cpu_share"] * 0.5, 3)


VARIANTS = {
    "double-traffic": lambda site: scale_traffic(site, 2.0),
    "little-traffic": lambda site: scale_traffic(site, 0.3),
    "more-endpoints": grow_sides,
    "other-core": drop_a_core,
    "five-core": five_cores,
    "fewer-slots": lambda site: slots(site, 0.6),
    "far-zones": lambda site: site["net"].update(cross_zone_ms=12.0),
    "slow-disks": lambda site: core_disk(site, sync_ms=25),
    "small-disks": lambda site: core_disk(site, mb=64),
    "narrow-links": lambda site: [machine.update(link_mbps=60.0) for machine in site["machines"]],
    "many-routes": lambda site: site["config"].update(idle_routes=400),
    "weak-machines": weaker,
}


def literal(value):
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {literal(item)}" for key, item in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(literal(item) for item in value) + "]"
    if isinstance(value, bool):
        return str(value).lower()
    return f'"{value}"' if isinstance(value, str) else str(value)


def dump(site):
    """Writes a site: plain values first, then tables, then its days."""
    lines = [f"{key} = {literal(value)}" for key, value in site.items() if not isinstance(value, dict) and key != "day"]
    for key, value in site.items():
        if isinstance(value, dict):
            lines += ["", f"[{key}]"] + [f"{name} = {literal(item)}" for name, item in value.items()]
    for day in site["day"]:
        lines += ["", "[[day]]"] + [f"{name} = {literal(item)}" for name, item in day.items()]
    return "\n".join(lines) + "\n"


def drawn(random_numbers, kinds, count):
    entries = []
    for kind, terms, variants in random_numbers.sample(kinds, count):
        at = round(random_numbers.uniform(1.0, LAST_BEGIN_S), 2)
        entries.append({"kind": kind, "at": at, **terms, "how": random_numbers.choice(variants)})
    return entries


def own_day(site, name, seed):
    random_numbers = random.Random(f"{name} {seed}")
    quiet = next(day for day in site["day"] if day["slot"] == "quiet")
    return {
        "name": name,
        "slot": "trouble",
        "seed": seed,
        "closing": random_numbers.choice(CLOSINGS),
        "one": 0.8,
        "zero": 0.4,
        "goal": {"floor": 0.1},
        "labels": [],
        "plan": drawn(random_numbers, PLAN, 2),
        "faults": drawn(random_numbers, FAULTS, 3),
        "traffic": copy.deepcopy(quiet["traffic"]),
    }


def play(bench, source, folder, name, seed):
    site = tomllib.loads(source.read_text())
    site["day"] = [own_day(site, name, seed)] + site["day"]
    VARIANTS[name](site)
    target = folder / f"{name}.toml"
    target.write_text(dump(site))
    why = f"deployments not seen: {source.stem} as {name}, seed {seed}"
    verdict, broken = bench_run.play(bench, target, name, why)
    entries = site["day"][0]["plan"] + site["day"][0]["faults"] + [site["day"][0]["closing"]]
    troubles = ", ".join(f"{entry['kind']} {entry.get('how', '')}".strip() for entry in entries)
    return verdict, troubles, broken


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("bench")
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--only", default=",".join(VARIANTS))
    arguments = parser.parse_args()
    names = arguments.only.split(",")
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(temporary)
        for beside in arguments.site.parent.iterdir():
            if beside.suffix in (".json", ".days"):
                shutil.copy(beside, folder)
        with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
            playing = {
                name: pool.submit(play, arguments.bench, arguments.site, folder, name, arguments.seed) for name in names
            }
            for name, future in playing.items():
                verdict, troubles, broken = future.result()
                print(verdict, f"  [{troubles}]", *broken, sep="\n", flush=True)


if __name__ == "__main__":
    main()
