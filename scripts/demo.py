"""Checks the guarantees of the product on a fleet on loopback, with the example
bundle of the herb packers."""

import json
import pathlib
import signal
import sys
import tempfile
import threading
import time
import uuid

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import fleetlib  # noqa: E402
from fleetlib import request  # noqa: E402


class GuaranteeReport:
    """Prints each guarantee with its result and counts the violations."""

    def __init__(self):
        self.violations = 0

    def check(self, guarantee, holds, observed):
        self.violations += 0 if holds else 1
        print("%-5s %-52s %s" % ("ok" if holds else "FAIL", guarantee,
                                 observed), flush=True)


def is_complete_read(name, status, headers, body):
    """Returns whether this is the answer to the read by way of node `name`."""
    if status != 200 or headers.get("Comfreylock-Outcome") != "complete" or (
            headers.get("X-Request-Id") != "read-" + name):
        return False
    try:
        return json.loads(body)["path"] == "/proofs/" + name
    except (ValueError, KeyError, TypeError):
        return False


def reason_of(body):
    """Returns the reason that a refusal states, or the start of its body."""
    try:
        return json.loads(body)["reason"]
    except (ValueError, KeyError, TypeError):
        return repr(body[:200])


def check_reads(fleet, report, key):
    """Every node returns complete answers; only the entry node sees the key."""
    complete = 0
    for name in fleet.nodes:
        status, headers, body = request(
            fleet.caller_address(name), "GET", "/proofs/%s" % name,
            {"Authorization": "Bearer " + key, "X-Request-Id": "read-" + name})
        if is_complete_read(name, status, headers, body):
            complete += 1
        else:
            print("      GET /proofs/%s: status %d, outcome %s, request id %s, "
                  "reason %s" % (name, status,
                                 headers.get("Comfreylock-Outcome"),
                                 headers.get("X-Request-Id"), reason_of(body)),
                  flush=True)
    report.check("every caller gets its own complete answer",
                 complete == len(fleet.nodes),
                 "%d of %d reads complete" % (complete, len(fleet.nodes)))
    onward_executions = [e for e in fleet.executions("batch-register")
                         if e["request_id"].startswith("read-")]
    report.check("a call chain keeps its request id",
                 len(onward_executions) == len(fleet.nodes),
                 "%d onward calls observed" % len(onward_executions))
    leaked = sum(e["saw_key"] for e in fleet.executions())
    report.check("no target receives a caller's key", leaked == 0,
                 "%d executions received a key" % leaked)


def check_refusals(fleet, report, key):
    """Refusals state their reason, and that the request has not run."""
    caller = fleet.caller_addresses()[0]
    status, headers, body = request(caller, "GET", "/proofs/1")
    report.check("a route with authentication requires a key",
                 status == 401 and headers["Comfreylock-Outcome"] == "not-run",
                 "%d %s" % (status, json.loads(body)["reason"]))
    status, headers, body = request(
        caller, "POST", "/orders", {"Authorization": "Bearer " + key}, b"{}")
    report.check("a once-only route requires an Idempotency-Key",
                 status == 400 and headers["Comfreylock-Outcome"] == "not-run",
                 "%d %s" % (status, json.loads(body)["reason"]))


def check_upload(fleet, report, key):
    """An upload arrives complete."""
    body = bytes(range(256)) * 4096 * 8
    status, _, answer = request(
        fleet.caller_addresses()[0], "PUT", "/uploads/field-7",
        {"Authorization": "Bearer " + key}, body, timeout=60)
    received_bytes = json.loads(answer).get("body_bytes")
    report.check("an upload reaches the target complete",
                 status == 200 and received_bytes == len(body),
                 "%d, %s of %d bytes" % (status, received_bytes, len(body)))


def uuid_v7():
    """Returns a time-ordered UUID (version 7)."""
    value = (int(time.time() * 1000) << 80) | (uuid.uuid4().int & (1 << 80) - 1)
    value = value & ~(0xf << 76) | 7 << 76
    value = value & ~(3 << 62) | 2 << 62
    return str(uuid.UUID(int=value))


def check_once_only(fleet, report, key):
    """An order sent through two nodes runs once; both answers are identical."""
    order = uuid_v7()
    headers = {"Authorization": "Bearer " + key, "Idempotency-Key": order}
    answers = [request(caller, "POST", "/orders", headers, b"{}")
               for caller in fleet.caller_addresses()[:2]]
    runs = sum(e["idempotency_key"] == order for e in fleet.executions())
    identical = answers[0][2] == answers[1][2]
    report.check("an order sent twice runs once, identical answers",
                 runs == 1 and identical and {a[0] for a in answers} == {200},
                 "%d run, answers %s" %
                 (runs, "alike" if identical else "differ"))
    status, _, body = request(fleet.caller_addresses()[2], "POST", "/orders",
                              headers, b"other")
    report.check("the same key with another body is refused", status == 409,
                 "%d %s" % (status, json.loads(body)["reason"]))


def check_rate(fleet, report):
    """One organisation exceeds its rate through all nodes at the same time."""
    name = "citromfu"
    limits = fleet.bundle["organisations"][name]
    headers = {"Authorization": "Bearer " + fleet.keys[name]}
    admitted = []

    def flood(caller, end):
        while time.monotonic() < end:
            status, _, _ = request(caller, "GET", "/batches/1", headers)
            if status != 429:
                admitted.append(status)

    start = time.monotonic()
    threads = [threading.Thread(target=flood, args=(c, start + 2))
               for c in fleet.caller_addresses()]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    bound = limits["rate"] * (time.monotonic() - start) + limits["burst"]
    report.check("no organisation exceeds its rate and burst",
                 len(admitted) <= bound,
                 "%d admitted by 12 nodes, bound %d" % (len(admitted), bound))


def check_withdrawal(fleet, report):
    """A withdrawn key stops working everywhere."""
    key = fleet.keys["harsfa"]
    fleet.bundle["keys"] = [k for k in fleet.bundle["keys"]
                            if k["organisation"] != "harsfa"]
    start = time.monotonic()
    fleet.roll_out_bundle()
    headers = {"Authorization": "Bearer " + key}
    fleetlib.wait_until(
        lambda: all(request(c, "GET", "/proofs/1", headers)[0] == 401
                    for c in fleet.caller_addresses()),
        10, "all nodes to refuse the withdrawn key")
    elapsed = time.monotonic() - start
    report.check("a withdrawn key stops within 3 s on every node", elapsed <= 3,
                 "%.2f s" % elapsed)


def check_drain(fleet, report, key):
    """A node that shuts down under load interrupts no request."""
    leaving = "label-proofs-0"
    others = [fleet.caller_address(n) for n in fleet.nodes if n != leaving]
    statuses = []
    headers = {"Authorization": "Bearer " + key}
    end = time.monotonic() + 2

    def read(caller):
        while time.monotonic() < end:
            statuses.append(request(caller, "GET", "/proofs/1", headers)[0])
            time.sleep(0.02)

    threads = [threading.Thread(target=read, args=(c,)) for c in others[:4]]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    fleet.nodes[leaving].signal(signal.SIGTERM)
    exit_code = fleet.nodes[leaving].wait(10)
    for thread in threads:
        thread.join()
    failed = sum(status != 200 for status in statuses)
    report.check("a graceful shutdown interrupts no request",
                 exit_code == 0 and failed == 0,
                 "%d of %d reads failed, exit code %d" %
                 (failed, len(statuses), exit_code))


def check_outage(fleet, report, key):
    """Routes that need no store are served while the store is unavailable."""
    request(fleet.store_address, "POST", "/standin/outage?ms=3000")
    headers = {"Authorization": "Bearer " + key}
    callers = [fleet.caller_address(n) for n in fleet.nodes
               if n != "label-proofs-0"]
    reads = [request(c, "GET", "/proofs/1", headers)[0] for c in callers]
    time.sleep(2.5)
    status, answer, body = request(
        callers[0], "POST", "/orders",
        {"Idempotency-Key": uuid_v7(), "X-Deadline-Ms": "300", **headers},
        b"{}")
    report.check("reads are served while the store is unavailable",
                 set(reads) == {200}, "%d of %d served" %
                 (reads.count(200), len(reads)))
    report.check("an order is then refused with outcome not-run",
                 answer["Comfreylock-Outcome"] == "not-run",
                 "%d %s" % (status, json.loads(body).get("reason")))


def main():
    report = GuaranteeReport()
    options = {"label-proofs": ["--onward={onward}",
                                "--onward_path=/batches/7"]}
    with tempfile.TemporaryDirectory() as state:
        with fleetlib.Fleet(state, "herb", target_options=options) as fleet:
            fleet.issue_keys()
            fleet.roll_out_bundle()
            fleet.wait_ready()
            key = fleet.keys["kamilla"]
            check_reads(fleet, report, key)
            check_refusals(fleet, report, key)
            check_upload(fleet, report, key)
            check_once_only(fleet, report, key)
            check_rate(fleet, report)
            check_withdrawal(fleet, report)
            check_drain(fleet, report, key)
            check_outage(fleet, report, key)
    print("%d guarantees violated" % report.violations)
    return 1 if report.violations else 0


if __name__ == "__main__":
    sys.exit(main())
