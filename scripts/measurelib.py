"""Shared parts of the measurement scenarios: load runs, bundles, metrics."""

import json
import subprocess
import tempfile

import fleetlib


class MetricPrinter:
    """Prints a JSON object for each metric of a scenario."""

    def __init__(self, scenario):
        self.scenario = scenario
        self.lines = []

    def add(self, metric, value, unit, target, baseline=None):
        """Prints a metric; `baseline` is its value with the naive policy, or
        None."""
        line = {"scenario": self.scenario, "metric": metric,
                "value": _rounded(value), "unit": unit,
                "baseline": _rounded(baseline), "target": target}
        self.lines.append(line)
        print(json.dumps(line), flush=True)


def _rounded(value):
    return round(value, 4) if isinstance(value, float) else value


class LoadRun:
    """One run of the load tool in the background."""

    def __init__(self, plan, orders=None):
        self._plan_file = tempfile.NamedTemporaryFile("w", suffix=".json")
        json.dump(plan, self._plan_file)
        self._plan_file.flush()
        command = [fleetlib.BIN / "load", "--plan=" + self._plan_file.name]
        if orders:
            command.append("--orders=" + str(orders))
        self._process = subprocess.Popen(command, stdout=subprocess.PIPE)

    def finish(self):
        """Waits until the run ends. Returns the report."""
        output, _ = self._process.communicate()
        self._plan_file.close()
        if self._process.returncode != 0:
            raise RuntimeError("the load tool failed")
        return json.loads(output)


def run_load(plan, orders=None):
    """Runs the load tool to its end. Returns the report."""
    return LoadRun(plan, orders).finish()


def stream(name, callers, path, rate, seconds, **options):
    """One stream of a load plan. It sends from `start` (default 0) until
    `seconds`, both in seconds since the start of the run."""
    start = options.pop("start", 0)
    return {"name": name, "callers": callers, "path": path,
            "rate": float(rate), "from": "%dms" % (start * 1000),
            "until": "%dms" % (seconds * 1000), **options}


def route(name, path, service, **options):
    """One route of a bundle."""
    return {"name": name, "path": path, "service": service, **options}


def organisation(rate=1e6, burst=1e6, weight=1):
    """One organisation of a bundle."""
    return {"rate": rate, "burst": burst, "weight": weight}


def bundle(services, routes, organisations):
    """A bundle without caller keys."""
    return {"version": 1, "partitions": 4, "services": services,
            "routes": routes, "organisations": organisations, "keys": []}


def start_fleet(state, upstreams, bundle_document, naive=False, **options):
    """Starts a fleet and waits until its bundle is in force on every node.

    `naive` selects the policy that the metrics are compared with."""
    node_options = dict(options.pop("node_options", {}))
    if naive:
        node_options["policy"] = "naive"
    fleet = fleetlib.Fleet(state, {"upstreams": upstreams,
                                   "bundle": bundle_document},
                           node_options=node_options, **options)
    try:
        fleet.issue_keys()
        fleet.roll_out_bundle()
        fleet.wait_ready()
    except BaseException:
        fleet.stop()
        raise
    return fleet


def bins(report, name, column):
    """One column of a stream's time bins."""
    columns = ("scheduled", "whole", "refused", "admitted")
    rows = report["streams"][name]["bins_scheduled_whole_refused_admitted"]
    return [row[columns.index(column)] for row in rows]


def rate_between(report, name, column, start, end):
    """Mean rate of a column per second, from `start` to `end` in seconds."""
    width = report["streams"][name]["bin_ms"] / 1000
    values = bins(report, name, column)[round(start / width):
                                        round(end / width)]
    return sum(values) / (end - start)


def count_endings(report, name, *texts):
    """Number of requests whose ending ("STATUS OUTCOME REASON") contains one of
    the texts."""
    return sum(count for ending, count in
               report["streams"][name]["endings"].items()
               if any(text in ending for text in texts))
