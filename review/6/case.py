"""A control replica is cut off and heard again many times; later another one is lost. Do orders and reads still work?"""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from stand_ins import (Link, Machines, NotRun, Operator, Server, exchange, has_trouble, main, route, until_ready,
                       write_message)

BOARD = "huvo11a"
CUTS = 45
# A sender gives up a connection whose bytes are not acknowledged for 900 ms.
CUT_S = 1.0
SENDER_GIVES_UP_S = 0.9
# Time from the end of a cut to the next one.
HEALED_S = 0.35
# catchUpS 4 of the pages, with a margin, before another machine is lost.
CATCH_UP_S = 8
# contactMs 3,000 after the loss, and a margin.
CONTACT_S = 6
READ_S = 10


async def read(machines, record, replicas):
    until = time.monotonic() + READ_S
    statuses = []
    while time.monotonic() < until:
        for ip in replicas:
            message = write_message("GET /-/Config.Read HTTP/1.1", {"Host": ip})
            try:
                status, _, body = await exchange(ip, machines.port("admin"), message, 2.0)
            except (OSError, asyncio.TimeoutError) as error:
                statuses.append(type(error).__name__)
                continue
            statuses.append(status)
            if status == 200:
                record.write(f"operator: {ip} returns a configuration of {len(body)} bytes, after {statuses[:-1]}")
                return body
        await asyncio.sleep(0.2)
    record.write(f"operator: no configuration in {READ_S} s, answers {statuses}")
    return None


async def cut_off(links, cut_ip, record):
    """Cuts one replica off from the others: what is sent is lost, and its sender gives the connection up."""
    number = int(cut_ip.rsplit(".", 1)[1])
    for link in links:
        concerned = (lambda source: True) if link.ip == cut_ip else (lambda source: source == number)
        link.is_cut = concerned
    silent = [connection for link in links for connection in link.go_silent(link.is_cut)]
    await asyncio.sleep(SENDER_GIVES_UP_S)
    for connection in silent:
        connection["from"].transport.abort()
    await asyncio.sleep(CUT_S - SENDER_GIVES_UP_S)
    for link in links:
        link.is_cut = lambda source: False


async def case(record):
    machines = Machines(record, [BOARD], has_links=True)
    links = [Link(machines, ip, machines.port("first")) for ip in machines.control]
    service_links = [Link(machines, ip, machines.port("first") + 1) for ip in machines.control]
    try:
        for link in [*links, *service_links]:
            await link.start()
        machines.start_all()
        server = Server(machines, next(iter(machines.daemons)))
        await server.start()
        operator = Operator(machines)
        routes = [route("/leny950/", BOARD, "safe")]
        await operator.replace(routes)
        await until_ready(machines)
        cut_ip, lost_ip, _ = machines.control
        if has_trouble():
            for _ in range(CUTS):
                await cut_off(links, cut_ip, record)
                await asyncio.sleep(HEALED_S)
            for link in links:
                record.write(f"{CUTS} cuts of {cut_ip}; open at {link.ip}: {len(link.silent())} connections that were "
                             f"cut, {len(link.live())} others")
        await asyncio.sleep(CATCH_UP_S)
        changed = [*routes, route("/puka111/", BOARD, "safe")]
        await operator.replace(changed, wait_s=10)
        acknowledged = operator.configuration(operator.version, changed)
        machines.signal(lost_ip, signal.SIGKILL)
        machines.processes[lost_ip].wait()
        await asyncio.sleep(CONTACT_S)
        returned = await read(machines, record, [ip for ip in machines.control if ip != lost_ip])
        if returned is None:
            return ["CONFIG: the configuration read back doesn't come"]
        return [] if returned == acknowledged else ["CONFIG: the configuration read back differs from what was sent"]
    finally:
        machines.close()


main(FOLDER, case)
