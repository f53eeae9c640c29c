"""The demo: a fleet in the shape of the herb packers' on loopback."""

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


class Table:
    """Collects promises and what was seen of each."""

    def __init__(self):
        self.broken = 0

    def check(self, promise, kept, seen):
        self.broken += 0 if kept else 1
        print("%-5s %-52s %s" % ("ok" if kept else "FAIL", promise, seen),
              flush=True)


def check_reads(fleet, table, key):
    """Whole answers through every node; the key stays at the entry."""
    whole = 0
    for name in fleet.nodes:
        status, headers, body = request(
            fleet.caller(name), "GET", "/proofs/%s" % name,
            {"Authorization": "Bearer " + key, "X-Request-Id": "read-" + name})
        right = (status == 200 and headers.get("Comfreylock-Outcome") ==
                 "complete" and headers.get("X-Request-Id") == "read-" + name
                 and json.loads(body)["path"] == "/proofs/" + name)
        whole += right
    table.check("every caller gets its own whole answer",
                whole == len(fleet.nodes),
                "%d of %d reads whole" % (whole, len(fleet.nodes)))
    chained = [e for e in fleet.executions("batch-register")
               if e["request_id"].startswith("read-")]
    table.check("a call chain keeps its request id",
                len(chained) == len(fleet.nodes),
                "%d onward calls seen" % len(chained))
    leaked = sum(e["saw_key"] for e in fleet.executions())
    table.check("no target sees a caller's key", leaked == 0,
                "%d executions saw a key" % leaked)


def check_refusals(fleet, table, key):
    """Refusals are true and say why."""
    caller = fleet.any_callers()[0]
    status, headers, body = request(caller, "GET", "/proofs/1")
    table.check("a keyed route needs a key",
                status == 401 and headers["Comfreylock-Outcome"] == "not-run",
                "%d %s" % (status, json.loads(body)["reason"]))
    status, headers, body = request(
        caller, "POST", "/orders", {"Authorization": "Bearer " + key}, b"{}")
    table.check("a once-only route needs an Idempotency-Key",
                status == 400 and headers["Comfreylock-Outcome"] == "not-run",
                "%d %s" % (status, json.loads(body)["reason"]))


def check_upload(fleet, table, key):
    """An upload arrives whole."""
    body = bytes(range(256)) * 4096 * 8
    status, _, answer = request(
        fleet.any_callers()[0], "PUT", "/uploads/field-7",
        {"Authorization": "Bearer " + key}, body, timeout=60)
    got = json.loads(answer).get("body_bytes")
    table.check("an upload reaches the target whole",
                status == 200 and got == len(body),
                "%d, %s of %d bytes" % (status, got, len(body)))


def order_key():
    """A time-ordered UUID (version 7)."""
    value = (int(time.time() * 1000) << 80) | (uuid.uuid4().int & (1 << 80) - 1)
    value = value & ~(0xf << 76) | 7 << 76
    value = value & ~(3 << 62) | 2 << 62
    return str(uuid.UUID(int=value))


def check_once(fleet, table, key):
    """An order sent through two nodes runs once and is answered alike."""
    order = order_key()
    headers = {"Authorization": "Bearer " + key, "Idempotency-Key": order}
    answers = [request(caller, "POST", "/orders", headers, b"{}")
               for caller in fleet.any_callers()[:2]]
    runs = sum(e["idempotency_key"] == order for e in fleet.executions())
    alike = answers[0][2] == answers[1][2]
    table.check("a print order sent twice runs once, answered alike",
                runs == 1 and alike and {a[0] for a in answers} == {200},
                "%d run, answers %s" % (runs, "alike" if alike else "differ"))
    status, _, body = request(fleet.any_callers()[2], "POST", "/orders",
                              headers, b"other")
    table.check("the same key with another body is refused", status == 409,
                "%d %s" % (status, json.loads(body)["reason"]))


def check_rate(fleet, table):
    """One organisation floods through all nodes at once."""
    name = "citromfu"
    rule = fleet.bundle["organisations"][name]
    headers = {"Authorization": "Bearer " + fleet.keys[name]}
    admitted = []

    def flood(caller, end):
        while time.monotonic() < end:
            status, _, _ = request(caller, "GET", "/batches/1", headers)
            if status != 429:
                admitted.append(status)

    start = time.monotonic()
    threads = [threading.Thread(target=flood, args=(c, start + 2))
               for c in fleet.any_callers()]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    bound = rule["rate"] * (time.monotonic() - start) + rule["burst"]
    table.check("no organisation exceeds its rate and burst",
                len(admitted) <= bound,
                "%d admitted by 12 nodes, bound %d" % (len(admitted), bound))


def check_withdrawal(fleet, table):
    """A withdrawn key stops working everywhere."""
    key = fleet.keys["harsfa"]
    fleet.bundle["keys"] = [k for k in fleet.bundle["keys"]
                            if k["organisation"] != "harsfa"]
    start = time.monotonic()
    fleet.roll()
    headers = {"Authorization": "Bearer " + key}
    fleetlib.wait_until(
        lambda: all(request(c, "GET", "/proofs/1", headers)[0] == 401
                    for c in fleet.any_callers()), 10, "the withdrawal")
    took = time.monotonic() - start
    table.check("a withdrawn key stops within 3 s on every node", took <= 3,
                "%.2f s" % took)


def check_drain(fleet, table, key):
    """A node leaves under load and cuts nothing."""
    leaving = "label-proofs-0"
    others = [fleet.caller(n) for n in fleet.nodes if n != leaving]
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
    code = fleet.nodes[leaving].wait(10)
    for thread in threads:
        thread.join()
    failed = sum(status != 200 for status in statuses)
    table.check("a planned stop cuts no request", code == 0 and failed == 0,
                "%d of %d reads failed, exit code %d" %
                (failed, len(statuses), code))


def check_outage(fleet, table, key):
    """The store goes away; routes that need no store go on."""
    request(fleet.store_address, "POST", "/standin/outage?ms=3000")
    headers = {"Authorization": "Bearer " + key}
    callers = [fleet.caller(n) for n in fleet.nodes if n != "label-proofs-0"]
    reads = [request(c, "GET", "/proofs/1", headers)[0] for c in callers]
    time.sleep(2.5)
    status, answer, body = request(
        callers[0], "POST", "/orders",
        {"Idempotency-Key": order_key(), "X-Deadline-Ms": "300", **headers},
        b"{}")
    table.check("reads go on while the store is away",
                set(reads) == {200}, "%d of %d whole" %
                (reads.count(200), len(reads)))
    table.check("an order is refused as not run while it is away",
                answer["Comfreylock-Outcome"] == "not-run",
                "%d %s" % (status, json.loads(body).get("reason")))


def main():
    table = Table()
    options = {"label-proofs": ["--onward={onward}",
                                "--onward_path=/batches/7"]}
    with tempfile.TemporaryDirectory() as state:
        with fleetlib.Fleet(state, "herb", target_options=options) as fleet:
            fleet.issue_keys()
            fleet.roll()
            fleet.wait_ready()
            key = fleet.keys["kamilla"]
            check_reads(fleet, table, key)
            check_refusals(fleet, table, key)
            check_upload(fleet, table, key)
            check_once(fleet, table, key)
            check_rate(fleet, table)
            check_withdrawal(fleet, table)
            check_drain(fleet, table, key)
            check_outage(fleet, table, key)
    print("%d promises broken" % table.broken)
    return 1 if table.broken else 0


if __name__ == "__main__":
    sys.exit(main())
