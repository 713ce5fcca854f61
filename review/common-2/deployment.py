"""A small deployment on loopback for the scripts of the second review.

Starts gateways and archives with the command and the templates of the deploy file, and stand-ins of
the platform's store, of model replicas and of a plain service in this process. Each machine has a
loopback address of its own, and an address of its own at which it reaches the store, so that the
store can turn single machines away. Standard library only.
"""

import asyncio
import base64
import hashlib
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
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.environ.get("PROGRAM", os.path.join(ROOT, "target", "buckthornhead"))
ZONES = ["zg-a", "zg-b", "zg-c"]
HOST = "ficu95.example"
STORE_ANSWER_S = 0.004


class CannotRun(Exception):
    """The case could not run: exit status 2."""


class Record:
    """Writes what is sent, answered and run to a file, with the time since the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w")

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        self.file.write("%8.3f  %s\n" % (self.now(), text))
        self.file.flush()


# HTTP, as far as the stand-ins need it.


async def read_head(reader):
    """Returns the first line and the headers, with names in lower case; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return body
        body += data


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return await read_chunks(reader)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def head_bytes(first, headers):
    return ("%s\r\n%s\r\n" % (first, "".join("%s: %s\r\n" % h for h in headers))).encode()


REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 503: "Service Unavailable"}


def answer_bytes(status, headers, body):
    return head_bytes("HTTP/1.1 %d %s" % (status, REASONS.get(status, "Status")),
                      list(headers) + [("Content-Length", len(body))]) + body


class HttpStandin:
    """Listens on addresses; .handle (address, method, target, headers, body, writer) answers."""

    def __init__(self):
        self.servers = []
        self.writers = set()

    async def listen(self, ip, port):
        async def serve(reader, writer):
            self.writers.add(writer)
            try:
                await self.serve(ip, reader, writer)
            except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError,
                    ValueError):
                pass  # the caller has left, or the case ends
            finally:
                self.writers.discard(writer)
                writer.close()

        self.servers.append(await asyncio.start_server(serve, ip, port, backlog=512))

    async def serve(self, ip, reader, writer):
        while True:
            head = await read_head(reader)
            if head is None:
                return
            method, target, _ = head[0].split(" ", 2)
            body = await read_body(reader, head[1])
            if not await self.handle(ip, method, target, head[1], body, writer):
                return

    def stop(self):
        for server in self.servers:
            server.close()
        for writer in list(self.writers):
            writer.close()


class Store(HttpStandin):
    """The platform's store: items with revisions, transactions and watches."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.items = {}
        self.revision = 411
        self.events = []
        self.changed = asyncio.Event()
        self.refused = set()  # addresses of machines that are turned away
        self.on_put = None

    def put(self, key, value):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(),
                           "revision": self.revision, "created": created, "lease": 0}
        self.events.append(self.items[key])
        self.changed.set()
        self.changed = asyncio.Event()
        if self.on_put is not None:
            self.on_put(key, value)

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.events.append({"key": key, "revision": self.revision, "deleted": True})
        self.changed.set()
        self.changed = asyncio.Event()

    def text(self, key):
        return base64.b64decode(self.items[key]["value"]) if key in self.items else None

    async def watch(self, query):
        after, prefix = int(query["after"]), query.get("prefix", "")
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            found = [e for e in self.events
                     if e["revision"] > after and e["key"].startswith(prefix)]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def txn(self, call):
        for row in call.get("expected_revision", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                rows = [self.items[r["key"]] for r in call["expected_revision"]
                        if r["key"] in self.items]
                return 412, {"items": rows}
        for row in call.get("puts", []):
            self.put(row["key"], base64.b64decode(row["value"]))
        for key in call.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    async def answer(self, path, query, body):
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, at=self.revision)) if item else (404, {"at": self.revision})
        if path == "/-/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query.get("prefix", ""))
                          and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "has_more": len(keys) > 500, "at": self.revision}
        if path == "/-/kv-watch":
            return await self.watch(query)
        if path == "/-/kv-txn":
            return self.txn(json.loads(body))
        return 404, {}

    async def handle(self, ip, method, target, headers, body, writer):
        if ip in self.refused:
            writer.write(answer_bytes(503, [], b""))
            await writer.drain()
            return True
        await asyncio.sleep(STORE_ANSWER_S)
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
        status, answer = await self.answer(path, query, body)
        writer.write(answer_bytes(status, [("Content-Type", "application/json")],
                                  json.dumps(answer).encode()))
        await writer.drain()
        return True


class Replica(HttpStandin):
    """A replica of a service. Streams events on routes of the model service."""

    def __init__(self, record, name, service, zone, slots, streams):
        super().__init__()
        self.record, self.id = record, "i-" + name
        self.service, self.zone, self.slots, self.streams = service, zone, slots, streams
        self.runs = []  # (request id, SHA-256 of the body)
        self.running = 0
        self.most_running = 0
        self.address = None
        self.sequence = 0

    def entry(self, state="ready"):
        self.sequence += 1
        return json.dumps({
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": state, "cold_remaining_ms": 0, "stage": "dual",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": self.sequence}).encode()

    def load(self):
        return ("X-Server-Load", "%d,0,%d" % (self.running, self.slots))

    def head(self, headers):
        return [("X-Request-Id", headers["x-request-id"]),
                ("X-Response-Seal", "3e1b." + headers["x-request-id"]), self.load()]

    async def handle(self, ip, method, target, headers, body, writer):
        if target.startswith("/health"):
            writer.write(answer_bytes(200, [("X-Instance-Id", self.id), self.load()], b""))
            await writer.drain()
            return True
        if headers.get("x-expect-instance", self.id) != self.id:
            writer.write(answer_bytes(421, [("X-Instance-Id", self.id)], b""))
            await writer.drain()
            return True
        if self.running >= self.slots:
            writer.write(answer_bytes(503, [("X-Not-Executed", "1"), self.load()], b""))
            await writer.drain()
            return True
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            return await self.run(method, target, headers, body, writer)
        finally:
            self.running -= 1

    async def run(self, method, target, headers, body, writer):
        request = headers["x-request-id"]
        self.runs.append((request, hashlib.sha256(body).hexdigest()))
        self.record("replica %s runs %s %s, id %s, body %d bytes" % (
            self.id, method, target, request, len(body)))
        if not self.streams:
            await asyncio.sleep(0.02)
            writer.write(answer_bytes(200, self.head(headers), b"x" * 800))
            await writer.drain()
            return True
        writer.write(head_bytes("HTTP/1.1 200 OK", self.head(headers) + [
            ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]))
        for n, data in enumerate(events_of(request)):
            await asyncio.sleep(0.01)
            event = ("id: %d\ndata: %s\n\n" % (n + 1, data)).encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


EVENTS = 8


def events_of(request):
    """Returns the data of the events that the replicas answer a request with."""
    return ["%s-%d-" % (request, n) + "w" * 120 for n in range(EVENTS)]


def output_of(request):
    """Returns what a replica is to receive of an earlier turn's output."""
    return "".join(data + "\n" for data in events_of(request)).encode()


# Settings.


def render(template, fields):
    """Fills in a template of the deploy file, as far as this project's templates use the form."""

    def look_up(name, scopes):
        if name == ".":
            return scopes[-1]
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                if isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                elif isinstance(value, dict) and part in value:
                    value = value[part]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def show(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(show(v) for v in value)
        return str(value)

    def fill(text, scopes):
        section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)

        def one(match):
            value = look_up(match.group(1), scopes)
            if not value:
                return ""
            entries = value if isinstance(value, list) else [value]
            return "".join(fill(match.group(2), scopes + [e]) for e in entries)

        text = section.sub(one, text)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda m: show(look_up(m.group(1), scopes)), text)

    return fill(template, [fields])


class Machine:
    def __init__(self, name, zone, ip, store_ip, is_archive):
        self.name, self.zone, self.ip, self.store_ip = name, zone, ip, store_ip
        self.is_archive = is_archive
        self.process = None
        self.folder = self.file = self.log = None


class Deployment:
    """One gateway and one archive a zone, unless told otherwise, with the sheet's bounds."""

    def __init__(self, record, gateways_per_zone=1, retention_s=60):
        self.record = record
        self.retention_s = retention_s
        self.folder = tempfile.mkdtemp(prefix="buckthornhead-review-")
        self.net = self.find_net()
        self.store = Store(record)
        self.replicas = []
        self.machines = []
        self.next_ip = 1
        for n in range(gateways_per_zone):
            for zone in ZONES:
                self.add_machine("front-%s-%d" % (zone, n + 1), zone, False)
        for zone in ZONES:
            self.add_machine("storage-%s-1" % zone, zone, True)

    # Addresses: 127.A.B.x, the same ports on each.
    FRONT, READY, DIRECTORY, CONTROL, PEER, STORE, REPLICA, METRICS = (
        8149, 8141, 8143, 8144, 7380, 8142, 8501, 9464)

    def find_net(self):
        """Returns the first three numbers of a range of loopback addresses that are free."""
        for _ in range(50):
            net = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
            try:
                for host, port in [(1, self.FRONT), (1, self.PEER), (100, self.STORE),
                                   (1, self.METRICS), (200, self.REPLICA)]:
                    with socket.socket() as s:
                        s.bind(("%s.%d" % (net, host), port))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def add_machine(self, name, zone, is_archive):
        n = self.next_ip
        self.next_ip += 1
        machine = Machine(name, zone, "%s.%d" % (self.net, n), "%s.%d" % (self.net, 100 + n),
                          is_archive)
        machine.folder = os.path.join(self.folder, "data-" + name)
        machine.log = os.path.join(self.folder, name + ".log")
        machine.file = os.path.join(self.folder, name + ".ini")
        self.machines.append(machine)
        return machine

    @property
    def gateways(self):
        return [m for m in self.machines if not m.is_archive]

    @property
    def archives(self):
        return [m for m in self.machines if m.is_archive]

    def gateway_of(self, zone):
        return next(m for m in self.gateways if m.zone == zone)

    def fields(self, machine, first):
        return {
            "node_name": machine.name, "zone": machine.zone, "ip": machine.ip,
            "listen": {"front": "%s:%d" % (machine.ip, self.FRONT),
                       "ready_addr": "%s:%d" % (machine.ip, self.READY),
                       "directory": "%s:%d" % (machine.ip, self.DIRECTORY),
                       "control": "%s:%d" % (machine.ip, self.CONTROL)},
            "port_range": [self.PEER, self.PEER + 15],
            "seeds": ["%s:%d" % (self.gateway_of(z).ip, self.CONTROL) for z in ZONES],
            "bootstrap": first, "data_dir": machine.folder,
            "contracts": ["base", "drain", "config", "cost", "recover", "agent", "stream",
                          "engine", "platform"],
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {"drain_ms": 2000, "grace_s": 8},
            "platform": {"address": "%s:%d" % (machine.store_ip, self.STORE)}}

    def start_process(self, machine, first=False):
        role = "archive" if machine.is_archive else "gateway"
        with open(os.path.join(ROOT, "deploy", role + ".ini.in")) as f:
            template = f.read()
        with open(machine.file, "w") as f:
            f.write(render(template, self.fields(machine, first)))
        log = open(machine.log, "ab")
        machine.process = subprocess.Popen(
            [PROGRAM, "gateway", "--config", machine.file], cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=log, stderr=log, env={"PATH": os.environ.get("PATH", ""), "LANG": "C"})
        log.close()
        self.record("process of %s starts, bootstrap %s" % (machine.name, first))

    def kill(self, machine):
        machine.process.send_signal(signal.SIGKILL)
        machine.process.wait()
        self.record("process of %s is killed" % machine.name)

    def lose_disk(self, machine):
        shutil.rmtree(machine.folder)
        self.record("%s loses its disk" % machine.name)

    def config(self, version):
        route = {"kind": "stream", "timeout_ms": 3000, "target_latency_ms": 200,
                 "max_attempts": 2, "retain": True, "retention_s": self.retention_s,
                 "sticky": True, "resumable": False, "gap_aim_ms": 250, "service": "huvo11a"}
        plain = {"timeout_ms": 1200, "target_latency_ms": 80, "priority": 2, "max_attempts": 2,
                 "service": "wuno96b"}
        return {
            "version": version,
            "routes": [
                dict(route, name="r-menu", host=HOST, prefix="/lohu930/", priority=1),
                dict(route, name="r-ask", host=HOST, prefix="/pufi791/", priority=0),
                dict(plain, name="r-sync", host=HOST, prefix="/pule252/", kind="safe"),
                dict(plain, name="r-alert", host=HOST, prefix="/puxa403/", kind="unsafe",
                     timeout_ms=2000, target_latency_ms=200, max_attempts=1)],
            "services": [
                {"name": "huvo11a", "health_path": "/health", "max_conns": 180,
                 "protocol": "h1", "tls": False,
                 "engine": {"slots": 16, "kv_capacity": 602910, "kv_token_bytes": 327680,
                            "link_mbps": 2600000.0, "migrations": True, "backups": True,
                            "tokens_per_event": 23, "most": 12, "pin_ms": 4000.0,
                            "hold_ms": 2000.0, "handle_s": 5.0, "models": [{"name": "m"}]}},
                {"name": "wuno96b", "health_path": "/health", "max_conns": 110,
                 "protocol": "h1", "tls": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}

    async def add_replica(self, name, service, zone, slots, streams, kind=Replica):
        replica = kind(self.record, name, service, zone, slots, streams)
        ip = "%s.%d" % (self.net, 200 + len(self.replicas))
        replica.address = "%s:%d" % (ip, self.REPLICA)
        await replica.listen(ip, self.REPLICA)
        self.replicas.append(replica)
        self.store.put("servers/" + replica.id, replica.entry())
        return replica

    async def start_world(self, engine=Replica, engines_per_zone=1):
        """Starts the store and the replicas, and writes the first configuration."""
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("the build of the deploy file is missing: target/buckthornhead")
        for machine in self.machines:
            await self.store.listen(machine.store_ip, self.STORE)
        self.store.put("op/config", json.dumps(self.config(7)).encode())
        for i, zone in enumerate(ZONES):
            for n in range(engines_per_zone):
                await self.add_replica("e%d%d" % (i, n), "huvo11a", zone, 16, True, engine)
            await self.add_replica("t%d" % i, "wuno96b", zone, 6, False)

    def start_machines(self):
        for machine in self.machines:
            self.start_process(machine, first=True)

    async def is_ready(self, machine):
        reply = await send(machine.ip, self.READY, "GET", "/-/ready", [("Host", "x")], b"", 1.0)
        return reply.status == 200

    async def wait_ready(self, limit_s=15):
        until = time.monotonic() + limit_s
        while not all([await self.is_ready(m) for m in self.gateways]):
            if time.monotonic() > until:
                raise CannotRun("the gateways did not get ready")
            await asyncio.sleep(0.1)

    def log_text(self, machine):
        with open(machine.log, errors="replace") as f:
            return f.read()

    def runs_of(self, request):
        return [(r.id, digest) for r in self.replicas for i, digest in r.runs if i == request]

    def stop(self):
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        self.store.stop()
        for replica in self.replicas:
            replica.stop()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("kept:", self.folder)


# Consumers.


class Reply:
    def __init__(self):
        self.status = 0  # 0: no answer
        self.headers = {}
        self.body = b""
        self.whole = False


async def receive(reader, reply, method="GET"):
    head = await read_head(reader)
    if head is None:
        return
    reply.status = int(head[0].split(" ")[1])
    reply.headers = head[1]
    if reply.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            line = await reader.readline()
            if not line.endswith(b"\r\n"):
                return
            size = int(line, 16)
            reply.body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    elif "content-length" in reply.headers:
        reply.body = await reader.readexactly(int(reply.headers["content-length"]))
    else:
        reply.body = await reader.read()
    reply.whole = True


async def send(ip, port, method, target, headers, body, limit_s):
    """Sends a request on a new channel and returns what came back within the time."""
    reply = Reply()
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(ip, port, limit=2 ** 22)
        rows = list(headers)
        if body or method == "POST":
            rows.append(("Content-Length", len(body)))
        writer.write(head_bytes("%s %s HTTP/1.1" % (method, target), rows) + body)
        await receive(reader, reply, method)

    try:
        await asyncio.wait_for(exchange(), limit_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return reply


async def send_turn(deployment, gateway, program, request, previous, text, target="/lohu930/2f",
                    budget=100000, max_tokens=276, program_ms=10000):
    """Sends one turn, as one consumer attempt, and records it."""
    headers = [("Host", HOST), ("X-Request-Id", request), ("X-Program-Id", program),
               ("X-Session-Id", "s" + program), ("X-Program-Deadline-Ms", program_ms),
               ("X-Token-Budget", budget), ("X-Model", "m"),
               ("X-Token-Count", "1840,%d" % max_tokens), ("X-Deadline-Ms", 3000)]
    if previous:
        headers.append(("X-Previous-Turn", previous))
    deployment.record("turn %s of program %s%s sent to %s" % (
        request, program, ", continues " + previous if previous else "", gateway.name))
    reply = await send(gateway.ip, deployment.FRONT, "POST", target, headers, text, 3.2)
    deployment.record("turn %s is answered %s%s" % (
        request, reply.status or "with a closed channel",
        ", whole" if reply.whole and reply.status == 200 else ""))
    return reply


def run_case(main, folder):
    """Runs the coroutine main (record, trouble); returns the exit status of the script."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    # Ends the processes of the case also when the script is told to stop.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    try:
        broken = asyncio.run(main(record, trouble))
    except CannotRun as problem:
        record("cannot run: %s" % problem)
        print("cannot run:", problem)
        return 2
    except Exception as problem:  # a fault of the script
        record("cannot run: %r" % problem)
        print("cannot run: %r" % problem)
        return 2
    for line in broken:
        record("RULE BROKEN: " + line)
        print("RULE BROKEN:", line)
    if not broken:
        record("the rule held")
        print("the rule held")
    return 1 if broken else 0
