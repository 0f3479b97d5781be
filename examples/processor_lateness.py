#!/usr/bin/env python3
"""Shows how late a process is on each processor of this machine, without any program of bramblewheel.

usage: processor_lateness.py SECONDS

Starts one process for each processor, bound to it, which sleeps for 20 ms at a time. Prints a line for each wake-up that
is late by 300 ms or more, and the greatest lateness of each processor at the end. A fault soak on a machine that shows
such lines tells of the machine as much as of the programs.
"""
import multiprocessing
import os
import sys
import time

SLEEP_S = 0.02
REPORTED_LATENESS_S = 0.3


def load():
    with open("/proc/loadavg") as file:
        return file.read().split()[0]


def watch(processor, seconds, greatest):
    os.sched_setaffinity(0, {processor})
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        begin = time.monotonic()
        time.sleep(SLEEP_S)
        late = time.monotonic() - begin - SLEEP_S
        greatest.value = max(greatest.value, late)
        if late >= REPORTED_LATENESS_S:
            print(f"{time.time():.3f} processor={processor} late_ms={late * 1000:.0f} load={load()}", flush=True)


def main():
    if len(sys.argv) != 2 or not sys.argv[1].isdigit() or int(sys.argv[1]) == 0:
        sys.exit("usage: processor_lateness.py SECONDS (a whole number above zero)")
    watches = []
    for processor in sorted(os.sched_getaffinity(0)):
        greatest = multiprocessing.Value("d", 0.0)
        arguments = (processor, int(sys.argv[1]), greatest)
        process = multiprocessing.Process(target=watch, args=arguments)
        process.start()
        watches.append((processor, process, greatest))
    for processor, process, greatest in watches:
        process.join()
        print(f"processor={processor} greatest_lateness_ms={greatest.value * 1000:.0f}")


if __name__ == "__main__":
    main()
