"""Checks of the fault soak: what callers and targets saw, against the promises.

Times are seconds of the clock that all processes of the host share."""

import bisect
import collections
import dataclasses

# Statuses that promise that a request has not run and never will.
NOT_RUN = (408, 421, 429, 503)
# Rate bound of a window: part and number of requests above the rate.
OVERAGE = 0.1
RATE_SLACK = 20
RATE_WINDOW_S = 5.0


@dataclasses.dataclass
class Sent:
    """A request as its caller saw it. `status` 0: the connection ended."""
    id: str
    kind: str  # "read" or "order"
    key: str
    size: int
    sent: float
    ended: float = 0.0
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: str = ""
    whole: bool = True


@dataclasses.dataclass
class Ran:
    """A request as a target saw it."""
    id: str
    target: str
    time: float
    fields: dict


@dataclasses.dataclass
class Rules:
    organisation_of: dict  # key -> organisation
    withdrawn: dict  # key -> time of the store's answer
    left: dict  # target -> time at which the node confirmed the leave
    limits: dict  # organisation -> (rate per second, burst)
    max_attempts: int = 2
    withdrawal_s: float = 5.0
    drain_s: float = 2.0


def runs_by_id(ran):
    found = collections.defaultdict(list)
    for run in ran:
        found[run.id].append(run)
    return found


def double_orders(sent, ran, rules):
    """Orders that ran more than once."""
    runs = runs_by_id(ran)
    return [s.id for s in sent if s.kind == "order" and len(runs[s.id]) > 1]


def false_refusals(sent, ran, rules):
    """Orders answered as not run that ran."""
    runs = runs_by_id(ran)
    return [s.id for s in sent
            if s.kind == "order" and s.status in NOT_RUN and runs[s.id]]


def broken_answers(sent, ran, rules):
    """Successes that are not the target's whole answer to the request."""
    wrong = []
    for s in sent:
        if s.status != 200:
            continue
        receipt = s.headers.get("x-comfreylock-server-signature")
        echoed = s.headers.get("x-comfreylock-request-id")
        expected = "answer to %s of %d" % (s.id, s.size)
        if not receipt or echoed != s.id or s.body != expected or not s.whole:
            wrong.append(s.id)
    return wrong


def unknown_runs(sent, ran, rules):
    """Runs of requests that no caller sent."""
    known = {s.id for s in sent}
    return [run.id for run in ran if run.id not in known]


def wrong_organisations(sent, ran, rules):
    """Runs for another organisation than the key's, or that saw the key."""
    by_id = {s.id: s for s in sent}
    wrong = []
    for run in ran:
        s = by_id.get(run.id)
        if s is None:
            continue
        told = run.fields.get("X-Comfreylock-Tenant-Id")
        leaked = any(s.key in value for value in run.fields.values())
        if told != rules.organisation_of[s.key] or leaked:
            wrong.append(run.id)
    return wrong


def withdrawn_keys(sent, ran, rules):
    """Runs of requests sent too long after their key was withdrawn."""
    by_id = {s.id: s for s in sent}
    wrong = []
    for run in ran:
        s = by_id.get(run.id)
        since = rules.withdrawn.get(s.key) if s else None
        if since is not None and s.sent > since + rules.withdrawal_s:
            wrong.append(run.id)
    return wrong


def runs_after_leave(sent, ran, rules):
    """Runs at targets too long after their leave was confirmed."""
    return [run.id for run in ran if run.target in rules.left and
            run.time > rules.left[run.target] + rules.drain_s]


def too_many_attempts(sent, ran, rules):
    """Requests that ran on more targets than their route allows."""
    return [request for request, runs in runs_by_id(ran).items()
            if len({run.target for run in runs}) > rules.max_attempts]


def over_rate(sent, ran, rules):
    """Organisations with a window in which more ran than the rate allows."""
    key_of = {s.id: s.key for s in sent}
    times = collections.defaultdict(list)
    for run in ran:
        if run.id in key_of:
            times[rules.organisation_of[key_of[run.id]]].append(run.time)
    wrong = []
    for organisation, (rate, burst) in rules.limits.items():
        bound = (rate * RATE_WINDOW_S + burst) * (1 + OVERAGE) + RATE_SLACK
        series = sorted(times[organisation])
        for i, start in enumerate(series):
            count = bisect.bisect_right(series, start + RATE_WINDOW_S) - i
            if count > bound:
                wrong.append("%s: %d in 5 s" % (organisation, count))
                break
    return wrong


def wrong_denials(sent, ran, rules):
    """Requests with a key that was never withdrawn, refused for good."""
    return [s.id for s in sent if s.status in (401, 403, 404) and
            s.key not in rules.withdrawn]


CHECKS = (double_orders, false_refusals, broken_answers, unknown_runs,
          wrong_organisations, withdrawn_keys, runs_after_leave,
          too_many_attempts, over_rate, wrong_denials)


def check_all(sent, ran, rules):
    """Returns {name of the check: what broke it} for the checks that fail."""
    found = {check.__name__: check(sent, ran, rules) for check in CHECKS}
    return {name: wrong for name, wrong in found.items() if wrong}
