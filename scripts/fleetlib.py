"""Starts stores, targets and nodes on loopback for the demo, the tests and the
measurements. Needs only Python's standard library and build/bin/."""

import hashlib
import hmac
import http.client
import json
import os
import pathlib
import random
import re
import secrets
import signal
import socket
import subprocess
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(os.environ.get("COMFREYLOCK_BIN", ROOT / "build" / "bin"))
ZONES = ("zone-a", "zone-b", "zone-c")
# Number of instances (target and node) of each service in the two example
# deployments; their bundles are in examples/.
SHAPES = {
    "herb": {"label-proofs": 3, "print-orders": 3, "uploads": 3,
             "batch-register": 3},
    "ertis": {"design-proofs": 4, "deposits-bookings": 3, "artwork-intake": 3,
              "catalogue": 3},
}
# Operators who sign every bundle that this library rolls out. A bundle needs
# the signatures of two operators.
OPERATORS = ("author", "approver")


def read_commented_json(path):
    """Reads JSON with // comments, which may also follow values."""
    text = pathlib.Path(path).read_text(encoding="utf-8")
    return json.loads(re.sub(r'("(?:\\.|[^"\\])*")|//[^\n]*',
                             lambda found: found.group(1) or "", text))


# Addresses that free_addresses() has returned in this process; none is returned
# twice.
_ALLOCATED_ADDRESSES = set()


def free_addresses(count):
    """Returns `count` loopback addresses on which nothing listens at present.

    The ports lie below the kernel's ephemeral range, so that no outgoing
    connection takes one of them."""
    found = []
    while len(found) < count:
        port = random.randrange(10000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        address = "127.0.0.1:%d" % port
        if address not in _ALLOCATED_ADDRESSES:
            _ALLOCATED_ADDRESSES.add(address)
            found.append(address)
    return found


# Port that marks a subnet as reserved, and the sockets that hold it, by subnet.
_SUBNET_LOCK_PORT = 8999
_SUBNET_LOCKS = {}


def reserve_subnet():
    """Returns N such that no other process that calls this uses the addresses
    127.0.N.0/24 while this process runs; the same N at each call."""
    for subnet in _SUBNET_LOCKS:
        return subnet
    for offset in range(200):
        subnet = 10 + (os.getpid() + offset) % 200
        lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            lock.bind(("127.0.%d.254" % subnet, _SUBNET_LOCK_PORT))
        except OSError:
            lock.close()
            continue
        _SUBNET_LOCKS[subnet] = lock
        return subnet
    raise OSError("all loopback subnets are in use")


def request(address, method, path, headers=None, body=None, timeout=10.0):
    """Sends one HTTP request; returns (status, headers, body)."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def wait_until(condition, seconds, what):
    """Polls until `condition()` is true; an OSError counts as false.

    Raises TimeoutError after `seconds`; `what` names the condition."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.02)
    raise TimeoutError("timed out after %g s waiting for %s" % (seconds, what))


class Process:
    """One process of the fleet; fleet.json also shows its `attributes`."""

    def __init__(self, name, role, arguments, log_path, **attributes):
        self.name = name
        self.role = role
        self.attributes = attributes
        self.log_path = log_path
        self.arguments = [str(a) for a in arguments]
        self.popen = None
        self.start()

    def start(self):
        log = open(self.log_path, "ab")
        self.popen = subprocess.Popen(self.arguments, stdout=log, stderr=log)
        log.close()

    def signal(self, signal_number):
        if self.popen.poll() is None:
            self.popen.send_signal(signal_number)

    def wait(self, seconds):
        return self.popen.wait(seconds)

    def describe(self):
        return {"name": self.name, "role": self.role, "pid": self.popen.pid,
                "log": str(self.log_path), **self.attributes}


class Fleet:
    """A store, targets and a node beside each target, as processes.

    `shape` is the name of an example deployment, the path of a JSON file, or a
    dictionary with "upstreams" (instances by service) and "bundle". The first
    instance of a service in `external_targets` uses that address instead of a
    stand-in. Without targets, all nodes are entry nodes only."""

    def __init__(self, state_dir, shape="herb", external_targets=None,
                 external_store=None, target_options=None, bundle=None,
                 node_options=None, with_targets=True):
        self.state_dir = pathlib.Path(state_dir)
        self.state_dir.mkdir(parents=True, exist_ok=True)
        self.processes = []
        self.fleet_secret = secrets.token_hex(32)
        self.key_salt = secrets.token_hex(16)
        self.operator_token = secrets.token_hex(16)
        self.operators = self._make_operators()
        self.keys = {}
        self.target_options = target_options or {}
        self.with_targets = with_targets
        self.node_options = node_options or {}
        self.external_targets = dict(external_targets or {})
        self.services, self.bundle = self._load_shape(shape, bundle)
        self.store_address = external_store or self._start_store()
        self.nodes = {}
        self.targets = {}
        self.control_addresses = []
        for service, count in self.services.items():
            for index in range(count):
                self._start_target_and_node(service, index)
        self.write_description()

    def _load_shape(self, shape, bundle):
        if isinstance(shape, dict):
            return shape["upstreams"], shape["bundle"]
        if shape in SHAPES:
            loaded = bundle or read_commented_json(
                ROOT / "examples" / shape / "bundle.json")
            return SHAPES[shape], loaded
        loaded = read_commented_json(shape)
        return loaded["upstreams"], bundle or loaded["bundle"]

    def _operator_file(self, name):
        return self.state_dir / ("operator-%s.json" % name)

    def _make_operators(self):
        """Generates signing keys; returns the public keys by operator."""
        public_keys = {}
        for name in OPERATORS:
            text = subprocess.run([BIN / "comfreylock-ctl", "operator-key",
                                   name], check=True, capture_output=True,
                                  text=True).stdout
            self._operator_file(name).write_text(text)
            public_keys[name] = json.loads(text)["public_key"]
        return public_keys

    def _log(self, name):
        return self.state_dir / (name + ".log")

    def _start_store(self):
        address = free_addresses(1)[0]
        self.store = Process("store", "store",
                             [BIN / "standin-store", "--address=" + address],
                             self._log("store"), addresses={"http": address})
        self.processes.append(self.store)
        wait_until(lambda: request(address, "GET", "/standin/counters"), 10,
                   "the store")
        return address

    def _start_target_and_node(self, service, index):
        name = "%s-%d" % (service, index)
        zone = ZONES[index % len(ZONES)]
        target, caller, onward, peer, control, operator = free_addresses(6)
        if not self.with_targets:
            target = ""
        elif service in self.external_targets and index == 0:
            target = self.external_targets.pop(service)
        else:
            options = self.target_options.get(service, [])
            options = [o.replace("{onward}", onward) for o in options]
            process = Process(name + "-target", "target",
                              [BIN / "standin-target", "--address=" + target,
                               "--name=" + name, *options],
                              self._log(name + "-target"), service=service,
                              zone=zone, addresses={"http": target})
            self.processes.append(process)
            self.targets[name] = process
        settings = {
            "node": name, "zone": zone,
            "service": service if target else "",
            "caller_address": caller, "onward_address": onward,
            "peer_address": peer, "control_address": control,
            "operator_address": operator, "target_address": target,
            "store_address": self.store_address,
            "fleet_secret_hex": self.fleet_secret,
            "operators": self.operators,
            "operator_token": self.operator_token,
            "seeds": list(self.control_addresses[:3]), **self.node_options}
        path = self.state_dir / (name + ".json")
        path.write_text(json.dumps(settings, indent=1))
        self.control_addresses.append(control)
        process = Process(name, "node",
                          [BIN / "comfreylock-node", "--settings=%s" % path],
                          self._log(name), service=service, zone=zone,
                          addresses={"caller": caller, "onward": onward,
                                     "peer": peer, "control": control,
                                     "operator": operator, "target": target})
        self.processes.append(process)
        self.nodes[name] = process

    def write_description(self):
        """Writes fleet.json: role, service, zone, addresses, pid, log."""
        (self.state_dir / "fleet.json").write_text(
            json.dumps([p.describe() for p in self.processes], indent=1))

    def issue_keys(self):
        """Generates a caller key for each organisation; adds its hash to the
        bundle."""
        self.bundle["key_salt"] = self.key_salt
        for organisation in self.bundle["organisations"]:
            identifier = organisation.replace("_", "-") + "-1"
            key = "cl_%s_%s" % (identifier, secrets.token_hex(16))
            digest = hmac.new(bytes.fromhex(self.key_salt), key.encode(),
                              hashlib.sha256).hexdigest()
            self.bundle.setdefault("keys", []).append(
                {"id": identifier, "organisation": organisation,
                 "hash": digest})
            self.keys[organisation] = key

    def ctl(self, *arguments):
        """Runs comfreylock-ctl; returns its standard output."""
        settings = self.state_dir / "ctl.json"
        settings.write_text(json.dumps({
            "store_address": self.store_address, "operators": self.operators,
            "operator_token": self.operator_token,
            "nodes": [p.attributes["addresses"]["operator"]
                      for p in self.nodes.values()]}, indent=1))
        result = subprocess.run(
            [BIN / "comfreylock-ctl", *map(str, arguments),
             "--settings=%s" % settings], capture_output=True, text=True)
        if result.returncode != 0:
            raise RuntimeError(
                "comfreylock-ctl %s exited with status %d: %s" % (
                    arguments[0], result.returncode, result.stderr.strip()))
        return result.stdout

    def roll_out_bundle(self):
        """Brings the bundle into force; one operator proposes it, the other
        approves it."""
        path = self.state_dir / "bundle.json"
        path.write_text(json.dumps(self.bundle, indent=1))
        author, approver = map(self._operator_file, OPERATORS)
        return self.ctl("propose", path, "--sign-with=%s" % author,
                        "--approve-with=%s" % approver)

    def caller_address(self, name):
        """Address of the listener of a node to which callers connect."""
        return self.nodes[name].attributes["addresses"]["caller"]

    def caller_addresses(self):
        return [p.attributes["addresses"]["caller"]
                for p in self.nodes.values()]

    def wait_ready(self, seconds=20):
        """Waits until every node serves every GET route of the bundle."""
        key = next(iter(self.keys.values()), "")
        headers = {"Authorization": "Bearer " + key}
        probes = [(r["methods"][0], r["path"]) for r in self.bundle["routes"]
                  if r.get("methods", ["GET"])[0] == "GET"]
        for name in self.nodes:
            for method, path in probes:
                wait_until(lambda: request(
                    self.caller_address(name), method, path + "/ready",
                    headers)[0] == 200, seconds,
                    "%s to serve %s" % (name, path))

    def status(self, name):
        """Returns the status of a node from its operator listener."""
        address = self.nodes[name].attributes["addresses"]["operator"]
        return json.loads(request(
            address, "GET", "/status",
            {"Authorization": "Bearer " + self.operator_token})[2])

    def control_bytes(self, name):
        """Bytes of control messages that a node has sent and received, without
        the headers of ZeroMQ and TCP."""
        control = self.status(name)["control"]
        return control["sent_bytes"] + control["received_bytes"]

    def executions(self, service=None):
        """All executions recorded by the stand-in targets."""
        found = []
        for name, process in self.targets.items():
            if service and process.attributes["service"] != service:
                continue
            if process.popen.poll() is not None:
                continue
            address = process.attributes["addresses"]["http"]
            found += json.loads(request(
                address, "GET", "/standin/executions")[2])
        return found

    def stop(self):
        """Stops all processes; nodes get 10 s to shut down gracefully."""
        for process in self.processes:
            process.signal(signal.SIGCONT)
        for process in self.processes:
            if process.role == "node":
                process.signal(signal.SIGTERM)
        end = time.monotonic() + 10
        for process in self.processes:
            if process.role != "node":
                continue
            try:
                process.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.signal(signal.SIGKILL)
        for process in self.processes:
            process.signal(signal.SIGKILL)
            process.popen.wait()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()
