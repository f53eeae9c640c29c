"""The demo: a fleet in the shape of the herb packers' on loopback."""

import json
import pathlib
import sys
import tempfile

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
    print("%d promises broken" % table.broken)
    return 1 if table.broken else 0


if __name__ == "__main__":
    sys.exit(main())
