"""Stand-ins for the users' platform: metadata store, upstreams, clients, and
the supervisor that starts the nodes with the command of the deploy file.

Everything listens on loopback addresses. The nodes are separate processes; the
stand-ins share one asyncio process, so all records use one clock.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]

BOUNDS = {
    "seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000,
    "strict_revoke": True, "revoke_ms": 5000, "retry_budget_ratio": 0.2,
    "retry_window_s": 10, "retry_slack": 48, "quota_window_s": 5,
    "quota_overage": 0.1, "quota_slack": 20, "recovery_s": 15,
}
HEARTBEAT_S = 1.5
MEMORY_MB = 260
RESTART_DELAY_S = 0.5


class Record:
    """Writes timed lines to record.txt; times are seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    """Returns the first line and the fields (lower-case names), or None at the
    end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(fields.get("content-length", 0)))


class Store:
    """The platform's metadata store (PROTOCOL.md)."""

    def __init__(self, record, latency_s=0.004):
        self.record = record
        self.latency_s = latency_s
        self.items = {}  # key: (value, revision, created, lease)
        self.history = []  # (revision, key, removed)
        self.revision = 1
        self.leases = {}  # id: [ttl_s, expires_at]
        self.last_lease = 0
        self.down = False  # Answers 503; nothing is done.
        self.changed = asyncio.Event()

    async def start(self, address):
        host, port = address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.expiry = asyncio.create_task(self.expire_leases())

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [i for i, l in self.leases.items() if l[1] < now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i[3] == lease]:
            self.remove(key)

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.history.append((self.revision, key, False))
        self.wake()

    def remove(self, key):
        if key not in self.items:
            return
        self.revision += 1
        del self.items[key]
        self.history.append((self.revision, key, True))
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def item(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(),
                "revision": revision, "created": created, "lease": lease}

    def events(self, prefix, after):
        rows = []
        latest = {}
        for revision, key, removed in self.history:
            if revision > after and key.startswith(prefix):
                latest[key] = (revision, removed)
        for key, (revision, removed) in latest.items():
            rows.append({"key": key, "revision": revision, "removed": True}
                        if removed else self.item(key))
        return rows

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                await asyncio.sleep(self.latency_s)
                status, answer = await self.answer(method, target, body)
                data = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json"
                             b"\r\nContent-Length: %d\r\n\r\n%b"
                             % (status, len(data), data))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        if self.down:
            return 503, {}
        path, _, query = target.partition("?")
        args = dict(urllib.parse.parse_qsl(query))
        if path == "/v1/kv-key":
            if args["key"] not in self.items:
                return 404, {"as_of": self.revision}
            return 200, self.item(args["key"]) | {"as_of": self.revision}
        if path == "/v1/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(args["prefix"])
                          and k > args.get("after", ""))
            return 200, {"items": [self.item(k) for k in keys[:500]],
                         "has_more": len(keys) > 500, "as_of": self.revision}
        if path == "/v1/kv-watch":
            end = time.monotonic() + int(args.get("wait_ms", 0)) / 1000
            while not (rows := self.events(args["prefix"], int(args["after"]))):
                left = end - time.monotonic()
                if left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
                if self.down:
                    return 503, {}
            return 200, {"events": rows, "as_of": self.revision}
        if path == "/v1/kv-lease" and method == "POST":
            ttl = json.loads(body)["ttl_ms"]
            self.last_lease += 1
            self.leases[self.last_lease] = [ttl / 1000,
                                            time.monotonic() + ttl / 1000]
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}
        lease = int(path.rsplit("/", 1)[1]) if path.count("/") == 3 else 0
        if path.startswith("/v1/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease][1] = time.monotonic() + ttl
            return 200, {"ttl_ms": int(ttl * 1000)}
        if path.startswith("/v1/kv-lease-end/"):
            if lease not in self.leases:
                return 404, {}
            self.end_lease(lease)
            return 200, {}
        if path == "/v1/kv-txn":
            call = json.loads(body)
            expected = call.get("expect", [])
            if any(self.items.get(r["key"], (0, 0))[1] != r["revision"]
                   for r in expected):
                return 412, {"items": [self.item(r["key"]) for r in expected
                                       if r["key"] in self.items]}
            for row in call.get("writes", []):
                if row.get("lease") and row["lease"] not in self.leases:
                    return 404, {}
            for row in call.get("writes", []):
                self.put(row["key"], base64.b64decode(row["value"]),
                         row.get("lease", 0))
            for key in call.get("deletes", []):
                self.remove(key)
            return 200, {"revision": self.revision}
        return 404, {}


def body_of(request, size):
    """The body of the answer to a request: other bytes for each id."""
    return random.Random(request).randbytes(size)


class Upstream:
    """A server of one service, beside one node. Runs a request for `work_s`
    and answers with `answer_bytes` bytes."""

    def __init__(self, record, node, service, slots=20, work_s=0.02,
                 answer_bytes=400, read_rate=0):
        self.record = record
        self.node = node
        self.service = service
        self.id = "i-" + os.urandom(4).hex()
        self.born = int(time.time() * 1000)
        self.slots = slots
        self.work_s = work_s
        self.answer_bytes = answer_bytes
        self.read_rate = read_rate  # Bytes a second of a request body; 0: any.
        self.sequence = 0
        self.runs = []  # (time, request id)
        self.reporting = None
        # Coroutine function that may write wrong bytes instead of the answer;
        # it then returns True, and the connection is closed.
        self.garble = None
        self.tasks = set()

    async def start(self):
        host, port = self.node.settings["app_addr"].split(":")
        self.server = await asyncio.start_server(
            self.serve, host, int(port), limit=2 ** 16)
        self.reporting = asyncio.create_task(self.report_periodically())

    async def stop(self):
        """The upstream exits: its connections are closed."""
        if self.reporting:
            self.reporting.cancel()
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        self.record(f"upstream {self.id} exits")

    def report_body(self, state):
        self.sequence += 1
        return json.dumps({
            "service": self.service, "address": self.node.settings["app_addr"],
            "zone": self.node.settings["zone"], "version": "v1",
            "slots": self.slots, "state": state, "warmup_left_ms": 0,
            "sequence": self.sequence, "born": self.born})

    async def say(self, path, body):
        """Sends a status report. Returns the status of the answer, 0 if there
        is none within a second."""
        async def call():
            host, port = self.node.settings["listen"]["control"].split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            data = body.encode()
            writer.write(f"POST {path} HTTP/1.1\r\nHost: control\r\n"
                         "Content-Type: application/json\r\nContent-Length: "
                         f"{len(data)}\r\n\r\n".encode() + data)
            head = await read_head(reader)
            if head:
                await read_body(reader, head[1])
            writer.close()
            return int(head[0].split(" ")[1]) if head else 0
        try:
            return await asyncio.wait_for(call(), 1.0)
        except (OSError, asyncio.TimeoutError):
            return 0

    async def report(self, state="ready"):
        return await self.say(f"/v1/Instances.Heartbeat/{self.id}",
                              self.report_body(state))

    async def report_periodically(self):
        while True:
            await self.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def deregister(self):
        """Leaves without a `draining` report. Returns the time of the
        confirmation."""
        self.reporting.cancel()
        self.sequence += 1
        status = await self.say(f"/v1/Instances.Deregister/{self.id}",
                                json.dumps({"sequence": self.sequence,
                                            "born": self.born}))
        self.record(f"upstream {self.id} ({self.service}) deregisters at "
                    f"{self.node.name}: {status}")
        if status != 200:
            raise CannotRun("the leave was not confirmed")
        return self.record.now()

    async def read_slowly(self, reader, length):
        got = 0
        while got < length:
            data = await reader.read(min(65536, length - got))
            if not data:
                raise ConnectionError()
            got += len(data)
            if self.read_rate:
                await asyncio.sleep(len(data) / self.read_rate)
        return got

    def answer(self, request, body):
        return (f"HTTP/1.1 200 OK\r\nX-Comfreylock-Request-Id: {request}\r\n"
                f"X-Comfreylock-Server-Signature: {self.id}.{request}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while (head := await read_head(reader)) is not None:
                _, path, _ = head[0].split(" ")
                fields = head[1]
                await self.read_slowly(reader,
                                       int(fields.get("content-length", 0)))
                if path == "/health":
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                                 b"X-Comfreylock-Instance-Id: "
                                 + self.id.encode() + b"\r\n\r\n")
                    continue
                request = fields.get("x-comfreylock-request-id", "")
                expected = fields.get("x-comfreylock-expected-instance",
                                      self.id)
                if expected != self.id:
                    writer.write(b"HTTP/1.1 421 Misdirected Request\r\n"
                                 b"Content-Length: 0\r\n\r\n")
                    continue
                self.runs.append((self.record.now(), request))
                self.record(f"upstream {self.id} ({self.service}) runs "
                            f"{request}")
                await asyncio.sleep(self.work_s)
                body = body_of(request, self.answer_bytes)
                if self.garble and await self.garble(writer, request, body):
                    return
                writer.write(self.answer(request, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()


class Node:
    """One node process, started with the command of the deploy file."""

    def __init__(self, fleet, name, service, zone, ip):
        self.fleet = fleet
        self.name = name
        self.ip = ip
        self.process = None
        self.starts = 0
        self.settings = {
            "node": name, "service": service, "zone": zone, "ip": ip,
            "app_addr": f"{ip}:8547", "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "listen": {"inbound": f"{ip}:8543", "outbound": f"{ip}:8548",
                       "ready": f"{ip}:8546", "control": f"{ip}:8540"},
            "provider": {"address": fleet.store_address},
            "bounds": [f"{k}={json.dumps(v)}" for k, v in BOUNDS.items()],
        }
        self.settings_path = fleet.folder / f"{name}.json"
        self.settings_path.write_text(self.render(fleet.template))

    def render(self, template):
        def value(match):
            found = self.settings
            for part in match.group(1).split("."):
                found = found[part]
            return json.dumps(found)
        return re.sub(r"\{\{([\w.]+)\|json\}\}", value, template)

    async def start(self):
        self.starts += 1
        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.fleet.command, cwd=ROOT, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL,
            env={"PATH": os.environ["PATH"], "HOME": "/tmp", "LANG": "C.UTF-8",
                 "COMFREYLOCK_SETTINGS": str(self.settings_path)})
        log.close()
        self.fleet.record(f"node {self.name} started, process "
                          f"{self.process.pid}")

    def signal(self, number):
        self.fleet.record(f"node {self.name}: {signal.Signals(number).name}")
        try:
            self.process.send_signal(number)
        except ProcessLookupError:
            pass

    async def ended(self):
        code = await self.process.wait()
        self.fleet.record(f"node {self.name} ended with {code}")
        return code

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, 8546)
            writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: r\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return bool(head) and head[0].split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit_s=10):
        end = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > end:
                raise CannotRun(f"{self.name} is not ready")
            await asyncio.sleep(0.05)
        self.fleet.record(f"node {self.name} is ready")

    def resident_mb(self):
        """Resident memory of the process, or 0 if it has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
            return int(re.search(r"VmRSS:\s+(\d+)", text).group(1)) / 1024
        except (OSError, AttributeError):
            return 0


class CannotRun(Exception):
    pass


class Fleet:
    """Store, nodes and upstreams of a small installation."""

    def __init__(self, record, services):
        """services: one service for each node; nodes are named node-1, ..."""
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="comfreylock-review-"))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        (role,) = deploy["roles"].values()
        self.command = role["run"].split(" ")
        if not (ROOT / self.command[0]).exists():
            raise CannotRun(f"{self.command[0]} is not built")
        self.template = (ROOT / role["template"]).read_text()
        ips = self.free_addresses(len(services) + 1)
        self.store_address = f"{ips[0]}:8545"
        self.store = Store(record)
        self.nodes = [Node(self, f"node-{i + 1}", service, f"zone-{i % 3 + 1}",
                           ips[i + 1]) for i, service in enumerate(services)]
        self.upstreams = []

    @staticmethod
    def free_addresses(count):
        """Loopback addresses on which the ports of an installation are free."""
        while True:
            base = f"127.{random.randint(20, 250)}.{random.randint(0, 250)}."
            ips = [base + str(10 + i) for i in range(count)]
            try:
                for ip in ips:
                    for port in (7010, 8540, 8543, 8545, 8546, 8547, 8548):
                        with socket.socket() as probe:
                            probe.bind((ip, port))
                return ips
            except OSError:
                continue

    async def start(self, config, **upstream_options):
        await self.store.start(self.store_address)
        self.put_config(config)
        for node in self.nodes:
            await node.start()
            upstream = Upstream(self.record, node, node.settings["service"],
                                **upstream_options)
            self.upstreams.append(upstream)
        await asyncio.sleep(0.2)
        for upstream in self.upstreams:
            await upstream.start()
        for node in self.nodes:
            await node.wait_ready()
        # Time for all machines to be in touch (contact_ms), and for each node
        # to have the others' loads.
        await asyncio.sleep(BOUNDS["contact_ms"] / 1000 + 0.5)

    def put_config(self, config):
        self.store.put("op/config", json.dumps(config).encode())
        self.record(f"operator: config {config['version']} confirmed")

    async def stop(self):
        for upstream in self.upstreams:
            if upstream.reporting:
                upstream.reporting.cancel()
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                try:
                    node.process.send_signal(signal.SIGCONT)
                    node.process.kill()
                except ProcessLookupError:
                    pass
                await node.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Supervisor:
    """Kills nodes above the machine's memory limit, as the platform does, and
    starts each node that has ended again after a short delay."""

    def __init__(self, record, fleet):
        self.record = record
        self.fleet = fleet
        self.ends = {node.name: 0 for node in fleet.nodes}
        self.peak = {node.name: 0.0 for node in fleet.nodes}
        self.tasks = [asyncio.create_task(self.watch(n)) for n in fleet.nodes]

    async def watch(self, node):
        while True:
            await asyncio.sleep(0.005)
            used = node.resident_mb()
            self.peak[node.name] = max(self.peak[node.name], used)
            if used > MEMORY_MB:
                self.record(f"node {node.name} uses {used:.0f} MB of "
                            f"{MEMORY_MB} MB")
                node.signal(signal.SIGKILL)
            elif node.process.returncode is None:
                continue
            await node.ended()
            self.ends[node.name] += 1
            await asyncio.sleep(RESTART_DELAY_S)
            await node.start()

    def stop(self):
        for task in self.tasks:
            task.cancel()


def make_config(version, services, routes, keys=("key-1",), **tenant):
    """routes: dicts with prefix, route_type, service and others."""
    defaults = {"timeout_ms": 5000, "target_latency_ms": 2500, "priority": 1,
                "max_attempts": 2, "public": False}
    return {
        "version": f"r{version}",
        "services": [{"name": name, "health_path": "/health",
                      "max_connections": 430, "protocol": "h1", "tls": False}
                     for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "tenant-1", "api_keys": list(keys),
                     "priority": 1, "rate_per_s": 0, "burst": 0} | tenant],
        "virtual_hosts": [{"host": "shop.example", "paths": [
            defaults | {"name": f"r-{i}"} | route
            for i, route in enumerate(routes)]}],
    }


class Client:
    """Sends requests to the `outbound` address of one node."""

    count = 0

    def __init__(self, record, node, key="key-1"):
        self.record = record
        self.node = node
        self.key = key

    @classmethod
    def next_id(cls):
        cls.count += 1
        return f"{cls.count:04d}{os.urandom(4).hex()}"

    def head(self, method, path, request, budget_ms, length=None):
        text = (f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\n"
                f"X-Comfreylock-Request-Id: {request}\r\n"
                f"X-Comfreylock-Request-Deadline: {budget_ms}\r\n"
                f"X-Comfreylock-Credential: {self.key}\r\n")
        if length is not None:
            text += f"Content-Length: {length}\r\n"
        return text.encode() + b"\r\n"

    async def exchange(self, method, path, body=None, budget_ms=5000):
        """Sends one request on a new connection. Returns its id and the
        status, fields and body of the answer; status 0: the connection ended
        without a whole answer."""
        request = self.next_id()
        status, fields, content = 0, {}, b""
        self.record(f"client at {self.node.name} sends {request} {method} "
                    f"{path} ({len(body or b'')} bytes)")
        try:
            reader, writer = await asyncio.open_connection(self.node.ip, 8548)
            writer.write(self.head(method, path, request, budget_ms,
                                   None if body is None else len(body))
                         + (body or b""))

            async def answer():
                await writer.drain()
                head = await read_head(reader)
                if not head:
                    return 0, {}, b""
                content = await read_body(reader, head[1])
                return int(head[0].split(" ")[1]), head[1], content
            status, fields, content = await asyncio.wait_for(
                answer(), budget_ms / 1000 + 0.5)
            writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        self.record(f"client at {self.node.name} got {status or 'no answer'} "
                    f"for {request}")
        return request, status, fields, content

    async def request(self, method, path, body=None, budget_ms=5000):
        """The same; returns only the id and the status."""
        request, status, _, _ = await self.exchange(method, path, body,
                                                    budget_ms)
        return request, status


def main(case, folder):
    """Runs the coroutine function `case(record, trouble)`, which returns
    whether the rule held, and exits with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")
    record(f"start; TROUBLE={int(trouble)}")

    async def run():
        loop = asyncio.get_running_loop()
        task = asyncio.create_task(case(record, trouble))
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(task, 105)

    try:
        held = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    record("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
