"""Starts a small deployment of the project's programs on loopback, with stand-ins for clients, servers and operator.

The programs are started with the commands and the settings template of `deploy/system.toml`. Every machine has a
loopback address of its own (127.x.y.n), so that all machines use the same ports. Only the standard library is used.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
ZONES = ["zone-a", "zone-b", "zone-c"]
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6,
    "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "retryBudgetRatio": 0.2,
    "budgetWindowS": 10, "budgetSlack": 57, "recoveryS": 15,
}


class CannotRun(Exception):
    """The case can't be run here."""


class Record:
    """`record.txt`: what was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


# --- settings template -------------------------------------------------------------------------------------------


def look_up(scopes, name):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value, found = scope, True
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                found = False
                break
        if found:
            return value
    return None


def as_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(as_text(entry) for entry in value)
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)


def render(template, scopes, key=""):
    """Fills a template as the platform's pages describe it."""
    pattern = re.compile(r"\{\{([#^]?)([^{}|]+?)(\|json)?\}\}")
    out, at = [], 0
    while (match := pattern.search(template, at)) is not None:
        out.append(template[at:match.start()])
        kind, name = match[1], match[2].strip()
        at = match.end()
        if not kind:
            value = key if name == "@" else look_up(scopes, name)
            out.append(json.dumps(value) if match[3] else as_text(value))
            continue
        end = template.index("{{/" + name + "}}", at)
        inner, at = template[at:end], end + len("{{/" + name + "}}")
        value = look_up(scopes, name)
        if kind == "^":
            out.append(render(inner, scopes) if value in (None, False) else "")
        elif isinstance(value, dict):
            out.extend(render(inner, scopes + [entry], entry_key) for entry_key, entry in value.items())
        elif isinstance(value, list):
            out.extend(render(inner, scopes + [entry], str(number)) for number, entry in enumerate(value))
        elif value not in (None, False):
            out.append(render(inner, scopes + [value]))
    out.append(template[at:])
    return "".join(out)


# --- HTTP ---------------------------------------------------------------------------------------------------------


class Message:
    """Head and body of a request or answer."""

    def __init__(self, first_line, headers, body):
        self.first_line, self.headers, self.body = first_line, headers, body

    @property
    def status(self):
        return int(self.first_line.split(" ")[1])


async def read_message(reader, is_answer=False):
    """Reads a message; None at the end of the connection. Raises IncompleteReadError if it is cut short."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        line = await reader.readline()
        if not line:
            if head:
                raise asyncio.IncompleteReadError(head, None)
            return None
        if not head and line == b"\r\n":
            continue
        head += line
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif is_answer:
        body = await reader.read()
    return Message(lines[0], headers, body)


def answer_bytes(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def request_bytes(method, path, host, request_id, deadline_ms, body=b"", headers=()):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Bramblewheel-Request-Id: {request_id}",
             f"Bramblewheel-Deadline-Ms: {deadline_ms}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(address, data, timeout_s=3.0):
    """Sends one request on a new connection and returns the answer."""
    host, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(data)
            await writer.drain()
            return await read_message(reader, is_answer=True)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout_s)


# --- deployment ---------------------------------------------------------------------------------------------------


class Machine:
    """A machine with one process of the project."""

    def __init__(self, deployment, number, role, zone, service):
        self.deployment, self.role, self.zone, self.service = deployment, role, zone, service
        self.name = f"{role}-{number}"
        self.ip = f"{deployment.net}.{number}"
        self.process = None
        first = deployment.first_port
        self.ports = {"inbound": first + 8, "outbound": first + 9, "ready": first + 10, "admin": first + 11,
                      "app": first + 12}

    def address(self, name):
        return f"{self.ip}:{self.ports[name]}"

    def settings(self, bootstrap):
        names = ["inbound", "outbound", "ready", "admin"] if self.role == "daemon" else ["admin"]
        data = self.deployment.folder / "data" / self.name
        fields = {
            "node": self.name, "role": self.role, "ip": self.ip, "zone": self.zone, "region": "region-1",
            "bootstrap": bootstrap, "dataDir": str(data) if self.role == "control" else None,
            "appAddr": self.address("app") if self.role == "daemon" else None,
            "service": self.service, "listen": {name: self.address(name) for name in names},
            "portRange": [self.deployment.first_port, self.deployment.first_port + 7],
            "seeds": self.deployment.seeds(), "heartbeatMs": 1500,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": BOUNDS,
        }
        return render(self.deployment.templates[self.role], [fields])

    def write_settings(self, bootstrap=False):
        path = self.deployment.folder / f"{self.name}.toml"
        replacement = path.with_suffix(".new")
        replacement.write_text(self.settings(bootstrap), encoding="utf-8")
        replacement.rename(path)
        return path

    def start(self, bootstrap=False):
        path = self.write_settings(bootstrap)
        (self.deployment.folder / "data" / self.name).mkdir(parents=True, exist_ok=True)
        log = open(self.deployment.folder / f"{self.name}.log", "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["BRAMBLEWHEEL_CONFIG"] = str(path)
        self.process = subprocess.Popen(self.deployment.commands[self.role], cwd=ROOT, env=environment, stdout=log,
                                        stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Deployment:
    """Three control replicas, and a daemon for each of `services`."""

    def __init__(self, record, services):
        with open(ROOT / "deploy/system.toml", "rb") as file:
            roles = tomllib.load(file)["roles"]
        self.record = record
        self.commands = {name: role["run"].split() for name, role in roles.items()}
        for command in self.commands.values():
            command[0] = str(ROOT / command[0])
            if not Path(command[0]).exists():
                raise CannotRun(f"{command[0]} is not built")
        self.templates = {name: (ROOT / role["template"]).read_text(encoding="utf-8") for name, role in roles.items()}
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.net, self.first_port = free_network()
        self.cores = [Machine(self, 1 + number, "control", ZONES[number], "") for number in range(3)]
        self.sides = [Machine(self, 11 + number, "daemon", ZONES[number % len(ZONES)], service)
                      for number, service in enumerate(services)]
        self.version = 0
        self.endpoints = []

    def seeds(self):
        return [core.address("admin") for core in self.cores]

    def start(self):
        for machine in self.cores + self.sides:
            machine.start(bootstrap=True)

    async def configure(self, resources):
        """Replaces the configuration; repeats the order until it is taken."""
        parent, self.version = self.version, self.version + 2
        text = json.dumps({"version": f"{self.version:08x}", "resources": resources}).encode()
        until = time.monotonic() + 30
        while time.monotonic() < until:
            for core in self.cores:
                head = (f"POST /-/Config.Replace HTTP/1.1\r\nHost: control\r\nConnection: close\r\n"
                        f"Bramblewheel-If-Version: {parent:08x}\r\nContent-Type: application/json\r\n"
                        f"Content-Length: {len(text)}\r\n\r\n").encode()
                try:
                    answer = await call(core.address("admin"), head + text)
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    continue
                if answer is not None:
                    self.record.write(f"operator version={self.version:08x} status={answer.status}")
                    if answer.status == 200:
                        return
            await asyncio.sleep(0.2)
        raise CannotRun("no configuration was taken")

    async def until_ready(self):
        until = time.monotonic() + 20
        waiting = list(self.sides)
        while waiting and time.monotonic() < until:
            machine = waiting[0]
            try:
                answer = await call(machine.address("ready"),
                                    b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1.0)
                if answer is not None and answer.status == 200:
                    waiting.pop(0)
                    continue
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.2)
        if waiting:
            raise CannotRun(f"{waiting[0].name} is not ready")

    def end(self):
        for machine in self.cores + self.sides:
            machine.end()
        if os.environ.get("KEEP") == "1":
            print(f"logs: {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def free_network():
    """A loopback network and first port of which no address is in use."""
    for _ in range(50):
        net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        first = random.randint(200, 300) * 100
        try:
            for number in (1, 2, 3, 11, 12, 13, 14):
                for port in range(first, first + 14):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.{number}", port))
            return net, first
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


# --- servers ------------------------------------------------------------------------------------------------------


class Endpoint:
    """A server of a service. `run(endpoint, connection, request)` runs a request and returns the bytes of its answer.

    A request for another instance gets 421. Heartbeats go to the daemon on the same machine.
    """

    def __init__(self, deployment, machine, service, run):
        self.deployment, self.machine, self.service, self.run = deployment, machine, service, run
        self.id = f"i-{random.getrandbits(32):08x}"
        self.sequence = 0
        self.state = "ready"
        self.server = None
        self.tasks = []
        self.connections = set()
        deployment.endpoints.append(self)

    async def start(self, beats=True):
        port = self.machine.ports["app"]
        self.server = await asyncio.start_server(self.serve, self.machine.ip, port)
        self.deployment.record.write(f"server {self.id} of {self.service} starts on {self.machine.name}")
        if beats:
            self.tasks.append(asyncio.create_task(self.beat()))

    async def beat(self):
        while True:
            self.sequence += 1
            text = json.dumps({
                "service": self.service, "address": self.machine.address("app"), "zone": self.machine.zone,
                "version": "v1", "slots": 8, "state": self.state, "coldRemainingMs": 0, "seq": self.sequence,
            }).encode()
            head = (f"POST /-/Instances.Heartbeat/{self.id} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                    f"Content-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n").encode()
            try:
                await call(self.machine.address("admin"), head + text, 1.0)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.2)
                continue
            await asyncio.sleep(1.5)

    async def serve(self, reader, writer):
        connection = {"writer": writer, "answered": []}
        self.connections.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                request_id = request.headers.get("bramblewheel-request-id", "")
                expected = request.headers.get("bramblewheel-expect-instance")
                if expected is not None and expected != self.id:
                    self.deployment.record.write(f"server {self.id} rejects {request_id}: other instance")
                    writer.write(answer_bytes(421, {"Bramblewheel-Request-Id": request_id,
                                                    "Bramblewheel-Not-Executed": "1"}))
                else:
                    answer = await self.run(self, connection, request)
                    writer.write(answer)
                    connection["answered"].append(request_id)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def success(self, request_id, body):
        return answer_bytes(200, {"Bramblewheel-Request-Id": request_id,
                                  "Bramblewheel-Response-Seal": f"{self.id}.{request_id}",
                                  "Bramblewheel-Server-Load": "1,0,8"}, body)

    def end(self):
        for task in self.tasks:
            task.cancel()
        if self.server is not None:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()


def service_resource(name):
    return {"typeUrl": "services", "metadata": {"name": name},
            "spec": {"healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": False}}


def route_resource(name, host, prefix, kind, service, timeout_ms=5000, priority=0):
    return {"typeUrl": "routes", "metadata": {"name": name},
            "spec": {"hostname": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout_ms,
                     "targetLatencyMs": 1500, "priority": priority, "service": service, "maxAttempts": 2}}


def limits_resource():
    return {"typeUrl": "limits", "metadata": {},
            "spec": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000,
                     "idleTimeoutMs": 15000}}


def main(folder, services, play):
    """Runs `play(deployment, record, has_trouble)`, which returns the list of breaks; exits as the issue asks."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")
    record.write(f"trouble={int(has_trouble)}")
    deployment = None
    try:
        deployment = Deployment(record, services)

        async def run():
            try:
                deployment.start()
                return await asyncio.wait_for(play(deployment, record, has_trouble), 100)
            finally:
                for endpoint in deployment.endpoints:
                    endpoint.end()

        breaks = asyncio.run(run())
    except Exception as error:  # Any fault of the script itself: exit code 1 is for a broken rule only.
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    finally:
        if deployment is not None:
            deployment.end()
    for text in breaks:
        record.write(f"BROKEN {text}")
        print(f"broken: {text}")
    record.write(f"breaks={len(breaks)}")
    print(f"breaks={len(breaks)}")
    sys.exit(1 if breaks else 0)
