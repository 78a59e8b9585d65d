"""Stand-ins for the platform's store, the origin of weights, engines and clients, on loopback.

They speak what the users' protocol page says, and run in the process of a case. The project's own
programs are started as separate processes.
"""
import asyncio
import base64
import ctypes
import hashlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "x.example"
KEY = "key-1"
TENANT = "org"
MODEL = "m"
PIECES = 48
PIECE_BYTES = 49152
LAYERS = 16
BOUNDS = {
    "seed_lag_s": 3, "addr_reuse_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "rollback_slack_ms": 250, "max_stretch_ms": 5000, "revoke_strict": False, "revoke_ms": 5000,
    "retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_slack": 106, "cold_overrun": 1.5,
    "cold_slack": 5, "evacuation_ms": 5000, "recovery_s": 12, "pass_ms": 120, "retry_after_s": 0,
    "version_ms": 8000, "version_all_ms": 0,
}


class Record:
    """The file record.txt of a case: what was sent, answered and run, with times."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()

    def say(self, text):
        self.line(text)
        print(f"{self.now():8.3f}  {text}", flush=True)


# HTTP


async def read_head(reader):
    """Reads the head of a message; returns its first line and its fields, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("the connection ended inside a head") from None
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_chunks(reader):
    """Yields the chunks of a chunked body; raises an error if it ends early."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            await reader.readuntil(b"\r\n")
            return
        yield await reader.readexactly(size)
        await reader.readexactly(2)


async def read_body(reader, fields):
    if "chunked" in fields.get("transfer-encoding", ""):
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(fields.get("content-length", "0")))


def response(status, body=b"", fields=()):
    text = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone",
            421: "Misdirected Request", 503: "Service Unavailable"}.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {text}", f"Content-Length: {len(body)}", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def query(path):
    return dict(part.split("=", 1) for part in path.partition("?")[2].split("&") if "=" in part)


class Server:
    """An HTTP server that handles one request at a time on each connection."""

    def __init__(self):
        self.server = None
        self.writers = set()
        self.address = None

    async def listen(self, host, port=0):
        self.server = await asyncio.start_server(self._serve, host, port, limit=1 << 22)
        self.address = self.server.sockets[0].getsockname()[:2]

    @property
    def authority(self):
        return "%s:%d" % self.address

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                line, fields = head
                method, path, _ = line.split(" ")
                body = await read_body(reader, fields)
                if not await self.handle(method, path, fields, body, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def close(self, reset=True):
        """Stops listening and resets the open connections, as a process that is killed does."""
        self.server.close()
        for writer in list(self.writers):
            if reset:
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            writer.transport.abort()
        self.writers.clear()


class Store(Server):
    """The platform's store: keyed topics with one partition."""

    def __init__(self):
        super().__init__()
        self.topics = {}
        self.changed = asyncio.Condition()

    async def put(self, topic, key, value):
        """Writes a record; its return is the acknowledgement."""
        data = None if value is None else json.dumps(value).encode()
        async with self.changed:
            self.topics.setdefault(topic, []).append((key, data))
            self.changed.notify_all()

    async def handle(self, method, path, fields, body, reader, writer):
        params = query(path)
        records = self.topics.setdefault(params.get("topic", ""), [])
        if path.startswith("/log-newest"):
            newest = {}
            for offset, (key, data) in enumerate(records):
                newest[key] = (offset, data)
            items = [{"key": key, "value": base64.b64encode(data).decode(), "offset": offset}
                     for key, (offset, data) in sorted(newest.items()) if data is not None]
            page = {"items": items, "has_more": False, "end_offset": len(records)}
            writer.write(response(200, json.dumps(page).encode(), ["Content-Type: application/json"]))
        elif path.startswith("/log-read"):
            start = int(params["from"])
            wait = min(int(params.get("wait_ms", "0")), 30000) / 1e3
            try:
                async with self.changed:
                    await asyncio.wait_for(
                        self.changed.wait_for(lambda: len(records) > start), max(wait, 0.001))
            except asyncio.TimeoutError:
                pass
            out = len(records).to_bytes(8, "big") + (0).to_bytes(8, "big")
            for key, data in records[start:]:
                record = bytes([len(key)]) + key.encode() + (data or b"")
                out += len(record).to_bytes(4, "big") + record
            writer.write(response(200, out))
        else:
            writer.write(response(404))
        await writer.drain()
        return True


def piece(version, index):
    """Bytes of a piece of weights."""
    seed = hashlib.sha256(b"%d/%d" % (version, index)).digest()
    return (seed * (PIECE_BYTES // len(seed) + 1))[:PIECE_BYTES]


DIGESTS = {}


def digest(version, index):
    if (version, index) not in DIGESTS:
        DIGESTS[version, index] = hashlib.sha256(piece(version, index)).hexdigest()
    return DIGESTS[version, index]


class Origin(Server):
    """The origin of weights, with a link of 15 Mbit/s. A version two back is gone."""

    RATE = 15e6 / 8

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.newest = 1
        self.link = asyncio.Lock()
        # Changes the body of an answer: (path, body) -> body.
        self.spoil = None

    async def handle(self, method, path, fields, body, reader, writer):
        params = query(path)
        version = int(params.get("version", self.newest))
        if version <= self.newest - 2:
            status, out = 410, b""
        elif version > self.newest:
            status, out = 404, b""
        elif path.startswith("/manifest/"):
            status = 200
            out = json.dumps({
                "model": MODEL, "version": version, "chunk_bytes": PIECE_BYTES, "layers": LAYERS,
                "digests": [digest(version, index) for index in range(PIECES)]}).encode()
        else:
            status, out = 200, piece(version, int(params["quantity"]))
        if status == 200 and self.spoil:
            out = self.spoil(path, out)
        self.record.line(f"origin: {path} -> {status}")
        async with self.link:
            await asyncio.sleep(len(out) / self.RATE)
            writer.write(response(status, out))
            await writer.drain()
        return True


class Engine(Server):
    """An engine. With `model`, it streams and loads staged weights; without, it answers plainly."""

    EVENTS = 12
    EVENT_S = 0.025

    def __init__(self, record, store, service, ident, zone, version=0, work_s=0.015, slots=16):
        super().__init__()
        self.record, self.store = record, store
        self.service, self.id, self.zone = service, ident, zone
        self.has_model = version is not None
        self.version = version or 0
        self.work_s, self.slots = work_s, slots
        self.born = int(time.time() * 1e3)
        self.state = "ready"
        self.beats = 0
        self.orders = 0
        self.busy = False
        self.running = 0
        self.staged = {}
        if self.version:
            self.staged = {index: piece(self.version, index) for index in range(PIECES)}
        # Requests that reached it and those that it ran: (time, id).
        self.arrivals, self.runs = [], []
        # Requests that began with a version of the weights: (time, id, version).
        self.begun = []
        # Orders that were accepted while a staged piece was not of the ordered version.
        self.unsound_loads = []
        self.down = False
        # Bytes of a plain answer.
        self.answer_bytes = 800
        # An engine that leaves says so in all its answers.
        self.leaving = False

    def entry(self):
        self.beats += 1
        entry = {"service": self.service, "address": self.authority, "zone": self.zone,
                 "version": "v1", "slots": self.slots, "state": self.state, "cold_left_ms": 0,
                 "sequence": self.beats, "born": self.born}
        if self.has_model:
            entry |= {"stage": "both", "models": self.models()}
            if self.version:
                entry["layers"] = {"from": 0, "target": LAYERS, "version": self.version}
        return entry

    def models(self):
        if not self.version:
            return []
        return [{"name": MODEL, "version": self.version, "adapters": []}]

    async def register(self):
        """Writes its entry; the return is the store's acknowledgement."""
        await self.store.put("keyed.servers", self.id, self.entry())

    async def unregister(self):
        await self.store.put("keyed.servers", self.id, None)

    async def handle(self, method, path, fields, body, reader, writer):
        if path == "/report":
            report = {"stage": "both", "models": self.models(), "busy": self.busy,
                      "sequence": self.orders, "waiting": 0, "running": self.running,
                      "kv_used": 0, "kv_total": 685000, "handles": 0, "born": self.born, "pace": 1.0}
            if self.version:
                report["layers"] = {"from": 0, "target": LAYERS, "version": self.version}
            writer.write(response(200, json.dumps(report).encode()))
        elif path.startswith("/stage-put/"):
            self.staged[int(query(path)["quantity"])] = body
            writer.write(response(200))
        elif path.startswith("/stage-get/"):
            staged = self.staged.get(int(query(path)["quantity"]))
            writer.write(response(404) if staged is None else response(200, staged))
        elif path == "/order":
            writer.write(response(self.accept_order(json.loads(body))))
        elif path == "/health":
            status = 200 if self.state == "ready" else 503
            writer.write(response(status, b"", [f"Jayspread-Instance-Id: {self.id}"]))
        else:
            return await self.run(fields, path, writer)
        await writer.drain()
        return True

    def accept_order(self, order):
        if order.get("precondition", self.orders) != self.orders:
            return 409
        if self.busy:
            return 409
        version = order["version"]
        if version == self.version:
            return 200
        wrong = [i for i in range(PIECES) if self.staged.get(i) != piece(version, i)]
        if wrong:
            self.unsound_loads.append((version, wrong))
        self.orders += 1
        self.busy = True
        self.record.say(f"engine {self.id}: accepts the order for version {version}"
                        + (f", with wrong pieces {wrong}" if wrong else ""))
        asyncio.get_running_loop().create_task(self.load(version))
        return 202

    async def load(self, version):
        while self.running:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)
        self.version, self.busy = version, False
        self.record.say(f"engine {self.id}: serves version {version}")
        await self.register()

    async def run(self, fields, path, writer):
        ident = fields.get("jayspread-request-id", "")
        now = self.record.now()
        echo = f"Jayspread-Request-Id: {ident}"
        if fields.get("jayspread-expect-instance", self.id) != self.id:
            self.record.line(f"engine {self.id}: request {ident} expects another instance, 421")
            writer.write(response(421, b"", [f"Jayspread-Instance-Id: {self.id}", echo]))
            await writer.drain()
            return True
        self.arrivals.append((now, ident))
        self.record.line(f"engine {self.id}: request {ident} arrives")
        if self.has_model and (not self.version or self.busy):
            writer.write(response(503, b"", ["Jayspread-Not-Executed: 1", echo]))
            await writer.drain()
            return True
        self.runs.append((now, ident))
        self.record.line(f"engine {self.id}: runs {ident}")
        seal = f"Jayspread-Response-Seal: {self.id}.{ident}"
        self.running += 1
        try:
            if not self.has_model:
                await asyncio.sleep(self.work_s)
                body = (f"{self.id} ran {ident} ".encode() * (self.answer_bytes // 20 + 1))
                leaving = ["Server-Leaving: 1"] if self.leaving else []
                writer.write(response(200, body[: self.answer_bytes], [echo, seal, *leaving]))
                await writer.drain()
                self.record.line(f"engine {self.id}: has answered {ident}")
                return True
            first = int(fields.get("last-event-id", "0")) + 1
            head = ["HTTP/1.1 200 OK", echo, seal, f"Jayspread-Weight-Versions: {self.version}",
                    "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
            for number in range(first, self.EVENTS + 1):
                await asyncio.sleep(self.EVENT_S)
                if number == first:
                    self.begun.append((self.record.now(), ident, self.version))
                event = f"id: {number}\ndata: {ident} {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return True
        finally:
            self.running -= 1


# Clients


class Answer:
    """What a client got: a status, or None with the reason in `error`."""

    def __init__(self, status=None, body=b"", fields=None, error=None):
        self.status, self.body, self.fields, self.error = status, body, fields or {}, error

    def __str__(self):
        if self.error:
            return f"no whole answer: {self.error}"
        return f"{self.status}, {len(self.body)} bytes"

    def served(self):
        return self.status == 200 and not self.error


class Connection:
    """A client's connection, kept for several requests."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(*self.address, limit=1 << 22), 1.0)

    def close(self):
        if self.writer:
            self.writer.transport.abort()
        self.reader = self.writer = None

    async def call(self, method, path, ident, deadline_ms, extra=(), body=b"hello", key=KEY):
        """Sends a request and reads its answer within the deadline."""
        try:
            return await asyncio.wait_for(
                self._call(method, path, ident, deadline_ms, extra, body, key), deadline_ms / 1e3)
        except asyncio.TimeoutError:
            self.close()
            return Answer(error="deadline")
        except (ConnectionError, asyncio.IncompleteReadError, OSError) as error:
            self.close()
            return Answer(error=f"connection ended ({type(error).__name__})")

    async def _call(self, method, path, ident, deadline_ms, extra, body, key):
        if self.writer is None:
            await self.open()
        head = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Jayspread-Request-Id: {ident}",
                f"Jayspread-Deadline-Ms: {deadline_ms}", f"Authorization: Token {key}", *extra]
        if method != "GET":
            head.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + (body if method != "GET" else b""))
        await self.writer.drain()
        got = await read_head(self.reader)
        if got is None:
            raise ConnectionError("closed")
        line, fields = got
        out = await read_body(self.reader, fields)
        if fields.get("connection", "").lower() == "close":
            self.close()
        return Answer(int(line.split(" ")[1]), out, fields)


PROMPT = ["Jayspread-Model: " + MODEL, "Jayspread-Token-Count: 100,70"]


def stream_fields(ident):
    return PROMPT + [f"Jayspread-Prompt-Prefix: aa01:40,{abs(hash(ident)) % (1 << 32):08x}:60"]


# The project's programs

PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None)


def end_with_case():
    """Makes a process that is about to start end with the case, however that ends."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """A program of the deploy file with its settings."""

    def __init__(self, site, role, name, ip, zone, fields):
        self.site, self.role, self.name, self.ip = site, role, name, ip
        self.settings = {
            "node_name": name, "role": role, "machine_class": "edge" if role == "entry" else "side",
            "ip": ip, "zone": zone, "region": site.zones[zone], "zones": site.zones, "listen": {},
            "internal_ports": [site.internal_port, site.internal_port + 15], "seeds": site.seeds,
            "bootstrap": True, "limits": {"cpu_share": 0.3, "cpu_cores": 1, "memory_mb": 260,
                                          "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip", "beat_interval_ms": 1200,
            "bounds": BOUNDS, "platform": {"address": site.store.authority, "form": "log"},
        } | fields
        self.child = None
        self.log = site.folder / f"{name}.log"

    def start(self):
        template = (ROOT / "deploy/settings.jsonc").read_text()
        text = template.replace("{{.|json}}", json.dumps(self.settings))
        text = re.sub(r'("admin_port":\s*)\d+', rf"\g<1>{self.site.admin_port}", text)
        path = self.site.folder / f"{self.name}.jsonc"
        path.write_text(text)
        run = self.site.commands[self.role].split()
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["JAYSPREAD_CONFIG"] = str(path)
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen([str(ROOT / run[0]), *run[1:]], cwd=ROOT, env=environment,
                                          stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                          preexec_fn=end_with_case)
        self.site.record.say(f"{self.name}: starts")

    def signal(self, number):
        self.site.record.say(f"{self.name}: gets {signal.Signals(number).name}")
        self.child.send_signal(number)

    def ended(self):
        return self.child.poll() is not None

    def stop(self):
        if self.child and self.child.poll() is None:
            self.child.kill()
        if self.child:
            self.child.wait()


class Site:
    """A small deployment on loopback addresses."""

    def __init__(self, folder, zones=None):
        import tomllib
        self.record = Record(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record.say("with the disruption" if self.trouble else "without the disruption")
        self.zones = zones or {"r1-a": "r1"}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.commands = {name: role["run"] for name, role in deploy["roles"].items()}
        self.subnet = random.randrange(20, 250)
        self.internal_port, self.front_port, self.ready_port, self.admin_port = self.free_ports()
        self.seeds = [f"{self.ip(0, 1)}:{self.internal_port}"]
        self.store = Store()
        self.processes = []

    def ip(self, zone, number):
        return f"127.{self.subnet}.{zone + 1}.{number}"

    def free_ports(self):
        """Ports that are free on all addresses of the site."""
        for _ in range(200):
            base = random.randrange(20000, 32000)
            try:
                for port in (base, base + 20, base + 21, base + 22):
                    with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
                        tcp.bind((self.ip(0, 1), port))
                        udp.bind((self.ip(0, 1), port))
                return base, base + 20, base + 21, base + 22
            except OSError:
                continue
        raise RuntimeError("no free ports")

    def entry(self, number, zone=0):
        name = list(self.zones)[zone]
        ip = self.ip(zone, number)
        process = Process(self, "entry", f"edge-{name}-{number}", ip, name, {
            "listen": {"front": f"{ip}:{self.front_port}", "ready": f"{ip}:{self.ready_port}",
                       "control": f"{ip}:{self.front_port + 5}"}})
        process.front = (ip, self.front_port)
        process.ready = (ip, self.ready_port)
        self.processes.append(process)
        return process

    def agent(self, engine, zone=0):
        process = Process(self, "agent", f"side-{engine.id}", engine.address[0],
                          list(self.zones)[zone], {"app": engine.authority, "service": engine.service})
        self.processes.append(process)
        return process

    async def wait_ready(self, processes, timeout=15.0):
        """Waits until the entry hosts answer their readiness check with 200."""
        limit = time.monotonic() + timeout
        for process in processes:
            while True:
                if await self.is_ready(process):
                    break
                if time.monotonic() > limit:
                    raise RuntimeError(f"{process.name} did not become ready")
                await asyncio.sleep(0.05)
        self.record.say("ready: " + ", ".join(process.name for process in processes))

    async def is_ready(self, process):
        connection = Connection(process.ready)
        try:
            await connection.open()
            connection.writer.write(b"GET /readiness HTTP/1.1\r\nHost: a\r\n\r\n")
            head = await asyncio.wait_for(read_head(connection.reader), 1.0)
            return head is not None and head[0].split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            connection.close()

    def close(self, keep_logs=False):
        for process in self.processes:
            process.stop()
        if keep_logs or os.environ.get("KEEP_LOGS"):
            print("logs are in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind, service, attempts, timeout_ms, target_ms, **more):
    return {"name": name, "hostname": HOST, "path_prefix": prefix, "kind": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": target_ms, "priority": 1,
            "service": service, "max_attempts": attempts, "public": False,
            "allowed_regions": []} | more


def config(version, origin=None, origin_zone="r1-a", timeout_ms=6000):
    """A configuration with a route of each kind."""
    services = [
        {"name": "desk", "max_connections": 434, "cold_s": 3.0, "cold_per_s": 38.0,
         "health_path": "/health", "engine": {
             "slots": 16, "stride": 6, "models": [{"name": MODEL}], "step_ms": 7.4,
             "per_seq_ms": 0.0387, "read_per_s": 31900.0, "usual": {"prompt": 900, "answer": 100}}},
        {"name": "lodgement", "max_connections": 110, "cold_s": 0.0, "cold_per_s": 0.0,
         "health_path": "/health"},
    ]
    if origin:
        services.append({"name": "registry", "origin": origin, "zone": origin_zone,
                         "max_connections": 48})
    return {
        "version": version,
        "routes": [
            route("stream", "/s/", "streaming", "desk", 2, timeout_ms, 400, sticky=True,
                  resumable=True, target_gap_ms=300),
            route("once", "/o/", "non_idempotent", "lodgement", 1, timeout_ms, 100),
            route("read", "/r/", "idempotent", "lodgement", 2, timeout_ms, 100),
        ],
        "services": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": TENANT, "api_keys": [KEY]}],
    }


def main(folder, case):
    """Runs a case: a coroutine that takes a site and returns whether the rule held."""
    try:
        site = Site(folder)
    except Exception as error:  # The case could not run.
        print("could not run:", error)
        raise SystemExit(2) from None

    async def run():
        try:
            return await asyncio.wait_for(case(site), 118)
        finally:
            site.close()

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: (site.close(), os._exit(2)))
    try:
        held = asyncio.run(run())
        site.record.say("the rule held" if held else "the rule was broken")
        status = 0 if held else 1
    except Exception as error:
        site.close()
        site.record.say(f"could not run: {type(error).__name__}: {error}")
        status = 2
    # Without the clean-up of connections that are still open.
    sys.stdout.flush()
    os._exit(status)
