"""Stand-ins for the scripts of the second review: machines, servers, clients and an operator on loopback addresses.

The machines run the program and the commands of the deploy file. Servers and clients speak what the pages say and nothing
else; what a case makes a server do beyond that is in the case's own script.
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

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
BOUNDS = {"graceS": 6, "retryBudgetRatio": 0.2, "budgetSlack": 60, "budgetWindowS": 10}
HEARTBEAT_S = 1.5
HOST = "hulo84.example"


class NotRun(Exception):
    """The case could not be run."""


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, as lines of record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.begun = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.begun:8.3f} {text}\n")
        self.file.flush()


def commands():
    """The commands of the deploy file, by role."""
    with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as file:
        text = file.read()
    found = re.findall(r'\[roles\.(\w+)\]\s*\nrun = "([^"]+)"', text)
    return {role: run.split(" ") for role, run in found}


def fill(template, values):
    """Fills the settings template as DEPLOY.md describes it, as far as this project's template goes."""

    def look_up(path, scope):
        for part in path.split("."):
            if isinstance(scope, list):
                scope = scope[int(part)] if part.isdigit() and int(part) < len(scope) else None
            elif isinstance(scope, dict):
                scope = scope.get(part)
            else:
                return None
        return scope

    def text_of(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return str(value)

    def section(match):
        value, body = look_up(match[1], values), match[2]
        if isinstance(value, dict):
            return "".join(body.replace("{{@}}", key).replace("{{.}}", text_of(item)) for key, item in value.items())
        return body if value is not None and value is not False else ""

    filled = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    filled = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda match: json.dumps(look_up(match[1], values)), filled)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: text_of(look_up(match[1], values)), filled)


class Machines:
    """The processes of a deployment: control replicas and daemons, each on a loopback address of its own."""

    PORTS = {"inbound": 0, "outbound": 1, "ready": 2, "admin": 3, "app": 4, "first": 8}

    def __init__(self, record, services, replicas=3, has_links=False, bounds=None):
        """With `has_links` the replicas are reached through a `Link`, by the setting for translated addresses."""
        self.record = record
        self.has_links = has_links
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.network = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        self.base = random.randrange(10_000, 28_000)
        self.control = [f"{self.network}.{number}" for number in range(1, replicas + 1)]
        self.daemons = {f"{self.network}.{number + 101}": service for number, service in enumerate(services)}
        self.processes = {}
        self.commands = commands()
        for ip in [*self.control, *self.daemons]:
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((ip, self.port("inbound")))
                except OSError as error:
                    raise NotRun(f"no free address: {error}") from error

    def port(self, name):
        return self.base + self.PORTS[name]

    def address(self, ip, name):
        return f"{ip}:{self.port(name)}"

    def settings(self, ip, is_first_start):
        role = "control" if ip in self.control else "daemon"
        names = ["admin"] if role == "control" else ["inbound", "outbound", "ready", "admin"]
        values = {
            "node": f"{role}-{ip.rsplit('.', 1)[1]}", "zone": "hall-a", "region": "oman-north", "ip": ip,
            "portRange": [self.port("first"), self.port("first") + 15], "bootstrap": is_first_start,
            "service": self.daemons.get(ip), "appAddr": self.address(ip, "app") if role == "daemon" else None,
            "dataDir": os.path.join(self.folder, f"data-{ip}") if role == "control" else None,
            "seeds": [self.address(seed, "admin") for seed in self.control],
            "heartbeatMs": int(HEARTBEAT_S * 1000), "bounds": self.bounds, "faultTolerance": {"machines": 1},
            "listen": {name: self.address(ip, name) for name in names},
        }
        with open(os.path.join(ROOT, "deploy/settings.toml"), encoding="utf-8") as file:
            text = fill(file.read(), values)
        if self.has_links and role == "control":
            return f'bind = "{self.behind_link(ip)}"\n{text}'
        return text

    def behind_link(self, ip):
        """Where a replica listens if `ip` is the address of the link to it."""
        network, number = ip.rsplit(".", 1)
        return f"{network}.{int(number) + 50}"

    def start(self, ip, is_first_start=False):
        role = "control" if ip in self.control else "daemon"
        path = os.path.join(self.folder, f"settings-{ip}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(ip, is_first_start))
        os.makedirs(os.path.join(self.folder, f"data-{ip}"), exist_ok=True)
        log = open(os.path.join(self.folder, f"log-{ip}-{time.time():.0f}"), "wb")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "BRAMBLEWHEEL_CONFIG": path}
        try:
            process = subprocess.Popen(self.commands[role], cwd=ROOT, env=environment, stdout=log,
                                       stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        except OSError as error:
            raise NotRun(f"the program can't be started: {error}") from error
        self.processes[ip] = process
        self.record.write(f"start {role} at {ip}")

    def start_all(self):
        for ip in [*self.control, *self.daemons]:
            self.start(ip, is_first_start=True)

    def signal(self, ip, number):
        self.record.write(f"signal {signal.Signals(number).name} to the process at {ip}")
        self.processes[ip].send_signal(number)

    def ended(self):
        """Processes that ended by themselves, with their exit codes."""
        codes = {ip: process.poll() for ip, process in self.processes.items()}
        return {ip: code for ip, code in codes.items() if code is not None}

    def log_tail(self, ip, lines=4):
        names = sorted(name for name in os.listdir(self.folder) if name.startswith(f"log-{ip}-"))
        if not names:
            return ""
        with open(os.path.join(self.folder, names[-1]), encoding="utf-8", errors="replace") as file:
            found = [line for line in file.read().strip().splitlines() if line and "/" not in line]
            return " | ".join(found[-lines:])

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


class Link:
    """Passes on the connections to one address. What is open can go silent for good; new connections work."""

    def __init__(self, machines, ip, port):
        self.ip, self.port, self.target = ip, port, machines.behind_link(ip)
        self.connections = []
        # Whether a connection from this source is cut now.
        self.is_cut = lambda source: False

    async def start(self):
        self.listener = await asyncio.start_server(self.accept, self.ip, self.port)

    async def accept(self, reader, writer):
        connection = {"silent": False, "source": None, "from": writer, "to": None}
        try:
            first = await reader.read(65536)
            # The first message of a replica states its name of the settings.
            source = re.search(rb"control-(\d+)", first)
            connection["source"] = source and int(source[1])
            if not first or self.is_cut(connection["source"]):
                writer.transport.abort()
                return
            to_reader, connection["to"] = await asyncio.open_connection(self.target, self.port)
        except OSError:
            writer.transport.abort()
            return
        self.connections.append(connection)
        connection["to"].write(first)
        await asyncio.gather(self.pump(reader, connection["to"], connection),
                             self.pump(to_reader, writer, connection))

    async def pump(self, reader, writer, connection):
        try:
            while data := await reader.read(65536):
                if not connection["silent"]:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if not connection["silent"]:
            writer.close()

    def live(self):
        return [connection for connection in self.connections
                if not connection["silent"] and not connection["from"].is_closing()]

    def silent(self):
        """Connections whose end at the target has heard nothing since, and that the target has not closed."""
        return [connection for connection in self.connections
                if connection["silent"] and not connection["to"].is_closing()]

    def go_silent(self, is_affected=lambda source: True):
        """What is open carries nothing from now on, neither bytes nor their end."""
        affected = [connection for connection in self.live() if is_affected(connection["source"])]
        for connection in affected:
            connection["silent"] = True
        return affected


async def read_message(reader):
    """Reads one HTTP message with a stated length: its first line, headers and body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("the message breaks off") from error
        return None
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return first, headers, body
    try:
        return first, headers, await reader.readexactly(int(headers.get("content-length", 0)))
    except asyncio.IncompleteReadError as error:
        raise ConnectionError("the message breaks off") from error


def write_message(first, headers, body=b""):
    headers = {**headers, "Content-Length": str(len(body))}
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def exchange(ip, port, message, wait_s):
    """Sends one request on a connection of its own; returns the status, the headers and the body of the answer."""

    async def run():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(message)
            await writer.drain()
            answer = await read_message(reader)
        except (ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
            raise ConnectionError(f"no answer in the protocol: {error}") from error
        finally:
            writer.close()
        if answer is None:
            raise ConnectionError("closed without an answer")
        first, headers, body = answer
        return int(first.split(" ")[1]), headers, body

    return await asyncio.wait_for(run(), wait_s)


class Server:
    """A sound server beside a daemon. `runs` holds what it ran. A case overrides `answer`."""

    def __init__(self, machines, ip, work_s=0.02):
        self.machines, self.ip, self.work_s = machines, ip, work_s
        self.service = machines.daemons[ip]
        self.id = f"i-{random.randrange(16 ** 8):08x}"
        self.sequence = 0
        self.runs = []
        self.record = machines.record
        self.tasks = []

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, self.ip, self.machines.port("app"))
        self.tasks.append(asyncio.create_task(self.send_heartbeats()))

    async def beat(self, state="ready"):
        self.sequence += 1
        body = json.dumps({
            "service": self.service, "address": self.machines.address(self.ip, "app"), "zone": "hall-a",
            "version": "v1", "slots": 20, "state": state, "coldRemainingMs": 0, "seq": self.sequence,
        }).encode()
        return await self.post(f"/-/Instances.Heartbeat/{self.id}", body)

    async def post(self, path, body=b""):
        message = write_message(f"POST {path} HTTP/1.1", {"Host": self.ip, "Content-Type": "application/json"}, body)
        try:
            status, _, _ = await exchange(self.ip, self.machines.port("admin"), message, 1.0)
        except (OSError, asyncio.TimeoutError):
            return False
        return 200 <= status < 300

    async def send_heartbeats(self):
        while True:
            acknowledged = await self.beat()
            await asyncio.sleep(HEARTBEAT_S if acknowledged else 0.2)

    async def serve(self, reader, writer):
        connection = {"requests": 0}
        try:
            while (message := await read_message(reader)) is not None:
                connection["requests"] += 1
                await self.on_request(message, writer, connection)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def on_request(self, message, writer, connection):
        first, headers, body = message
        request = headers.get("bramblewheel-request-id", "")
        expected = headers.get("bramblewheel-expect-instance", self.id)
        if expected != self.id:
            self.record.write(f"server {self.id} at {self.ip} rejects {request}: it expects {expected}")
            writer.write(write_message("HTTP/1.1 421 Misdirected Request",
                                       {"Bramblewheel-Request-Id": request, "Bramblewheel-Not-Executed": "1"}))
            return await writer.drain()
        self.runs.append(request)
        self.record.write(f"server {self.id} at {self.ip} runs {request} ({first})")
        await self.answer(first, headers, body, writer, connection)

    def success(self, request, more=None):
        headers = {"Bramblewheel-Request-Id": request, "Bramblewheel-Response-Seal": f"3e1b.07.{request}",
                   **(more or {})}
        return write_message("HTTP/1.1 200 OK", headers, f"answer to {request}".encode())

    async def answer(self, first, headers, body, writer, connection):
        await asyncio.sleep(self.work_s)
        writer.write(self.success(headers.get("bramblewheel-request-id", "")))
        await writer.drain()


class Operator:
    def __init__(self, machines):
        self.machines = machines
        self.version = 0
        self.tenants = {}

    def configuration(self, version, routes):
        services = sorted(set(self.machines.daemons.values()))
        resources = [{"typeUrl": "routes", "metadata": {"name": f"r-{number}"}, "spec": route}
                     for number, route in enumerate(routes)]
        resources += [{"typeUrl": "services", "metadata": {"name": name}, "spec": {
            "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": False}} for name in services]
        resources += [{"typeUrl": "tenants", "metadata": {"name": name}, "spec": {"apiKeys": keys, "priority": 1}}
                      for name, keys in self.tenants.items()]
        resources.append({"typeUrl": "limits", "metadata": {}, "spec": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
        return json.dumps({"version": f"{version:08x}", "resources": resources}).encode()

    async def replace(self, routes, wait_s=25.0):
        """Sends a configuration until it is acknowledged."""
        version = self.version + 2
        body = self.configuration(version, routes)
        until = time.monotonic() + wait_s
        while time.monotonic() < until:
            for ip in self.machines.control:
                message = write_message("POST /-/Config.Replace HTTP/1.1", {
                    "Host": ip, "Content-Type": "application/json",
                    "Bramblewheel-If-Version": f"{self.version:08x}"}, body)
                try:
                    status, _, _ = await exchange(ip, self.machines.port("admin"), message, 3.0)
                except (OSError, asyncio.TimeoutError):
                    continue
                if status == 200:
                    self.machines.record.write(f"operator: version {version} acknowledged by {ip}")
                    self.version = version
                    return
                if status not in (408, 429) and status < 500:
                    raise NotRun(f"the configuration is answered {status}")
            await asyncio.sleep(0.3)
        raise NotRun("no configuration was acknowledged")


def route(prefix, service, kind, **more):
    return {"hostname": HOST, "pathPrefix": prefix, "kind": kind, "timeoutMs": 4000, "targetLatencyMs": 1500,
            "priority": 0, "service": service, "maxAttempts": 2, **more}


def request_message(method, path, request, deadline_ms=4000, body=b"", more=None):
    return write_message(f"{method} {path} HTTP/1.1", {
        "Host": HOST, "Bramblewheel-Request-Id": request, "Bramblewheel-Deadline-Ms": str(deadline_ms),
        **(more or {})}, body)


class Client:
    """A client on a machine, with a new connection for each request."""

    def __init__(self, machines, ip):
        self.machines, self.ip = machines, ip
        self.answers = {}

    async def send(self, method, path, body=b"", deadline_ms=4000, more=None):
        request = f"{random.randrange(16 ** 16):016x}"
        self.machines.record.write(f"client at {self.ip} sends {request}: {method} {path}")
        message = request_message(method, path, request, deadline_ms, body, more)
        try:
            status, headers, answer = await exchange(self.ip, self.machines.port("outbound"), message,
                                                     deadline_ms / 1000 + 1)
            result = (status, headers, answer)
            text = f"{status}{' with a seal' if 'bramblewheel-response-seal' in headers else ''}"
        except (OSError, asyncio.TimeoutError) as error:
            result = (None, {}, b"")
            text = f"nothing ({type(error).__name__}: {error})"
        self.answers[request] = result
        self.machines.record.write(f"client at {self.ip} gets for {request}: {text}")
        return request, result


async def until_ready(machines, wait_s=25.0):
    """Waits until all daemons say that they are ready."""
    until = time.monotonic() + wait_s
    for ip in machines.daemons:
        while True:
            message = write_message("GET /-/ready HTTP/1.1", {"Host": ip})
            try:
                status, _, _ = await exchange(ip, machines.port("ready"), message, 1.0)
                if status == 200:
                    break
            except (OSError, asyncio.TimeoutError):
                pass
            if time.monotonic() > until:
                raise NotRun(f"the daemon at {ip} is not ready")
            await asyncio.sleep(0.1)


def leave(code):
    """Ends this process without waiting for connections of stand-ins; the machines' processes have ended."""
    sys.stdout.flush()
    os._exit(code)


def main(folder, case):
    """Runs `case(record)`, which returns what broke the rule, and exits as the issue asks."""
    record = Record(folder)
    record.write(f"trouble: {'on' if has_trouble() else 'off'}")
    try:
        broken = asyncio.run(asyncio.wait_for(case(record), 110))
    except (NotRun, asyncio.TimeoutError) as error:
        record.write(f"not run: {type(error).__name__}: {error}")
        print(f"not run: {type(error).__name__}: {error}")
        leave(EXIT_NOT_RUN)
    for line in broken:
        record.write(f"BROKEN: {line}")
        print(f"BROKEN: {line}")
    print("the rule was broken" if broken else "the rule held")
    record.write("the rule was broken" if broken else "the rule held")
    leave(EXIT_BROKEN if broken else EXIT_HELD)
