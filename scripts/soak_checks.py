"""Checks of the fault soak: compares what callers and targets observed with the
guarantees of the product.

Each check returns the requests, executions or organisations that violate it.
Times are seconds of the monotonic clock, which all processes of the host
share."""

import bisect
import collections
import dataclasses

# Statuses that guarantee that the request has not run and will not run.
NOT_RUN = (408, 421, 429, 503)
# In any RATE_WINDOW_S, an organisation may run at most
# (rate x RATE_WINDOW_S + burst) x (1 + RATE_TOLERANCE) + RATE_SLACK requests.
RATE_TOLERANCE = 0.1
RATE_SLACK = 20
RATE_WINDOW_S = 5.0
# A node may lose links to one peer this often in any LINK_WINDOW_S: after a
# link that lasted at least 1 s it connects at once, otherwise after 0.2 s or
# longer.
MAX_LINKS_LOST = 10
LINK_WINDOW_S = 5.0


@dataclasses.dataclass
class SentRequest:
    """A request as its caller observed it. `status` is 0 if no complete answer
    arrived."""
    id: str
    kind: str  # "read" or "order"
    key: str
    size: int
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: str = ""
    complete: bool = True


@dataclasses.dataclass
class Execution:
    """One execution of a request, as the target observed it."""
    id: str
    target: str
    time: float
    fields: dict


@dataclasses.dataclass
class Rules:
    """Bounds for a soak run, and the key withdrawals and deregistrations of
    targets that happened in it."""
    organisation_of_key: dict  # key -> organisation
    withdrawn_at: dict  # key -> time at which the store confirmed the change
    left_at: dict  # target -> time of its accepted deregistration
    limits: dict  # organisation -> (rate per second, burst)
    max_attempts: int = 2
    max_withdrawal_s: float = 5.0
    max_drain_s: float = 2.0


def executions_by_id(executions):
    found = collections.defaultdict(list)
    for run in executions:
        found[run.id].append(run)
    return found


def double_orders(requests, executions, rules):
    """Orders that ran more than once."""
    runs = executions_by_id(executions)
    return [s.id for s in requests
            if s.kind == "order" and len(runs[s.id]) > 1]


def false_refusals(requests, executions, rules):
    """Orders that ran although their answer says that they have not run."""
    runs = executions_by_id(executions)
    return [s.id for s in requests
            if s.kind == "order" and s.status in NOT_RUN and runs[s.id]]


def broken_answers(requests, executions, rules):
    """Answers with status 200 that are not the complete answer of the target to
    this request."""
    wrong = []
    for s in requests:
        if s.status != 200:
            continue
        signed = s.headers.get("x-comfreylock-server-signature")
        echo = s.headers.get("x-comfreylock-request-id")
        expected = "answer to %s of %d" % (s.id, s.size)
        if not signed or echo != s.id or s.body != expected or not s.complete:
            wrong.append(s.id)
    return wrong


def unknown_runs(requests, executions, rules):
    """Executions of requests that no caller sent."""
    known = {s.id for s in requests}
    return [run.id for run in executions if run.id not in known]


def wrong_organisations(requests, executions, rules):
    """Executions for another organisation than the key's, or in which the
    target received the key."""
    by_id = {s.id: s for s in requests}
    wrong = []
    for run in executions:
        s = by_id.get(run.id)
        if s is None:
            continue
        reported = run.fields.get("X-Comfreylock-Tenant-Id")
        leaked = any(s.key in value for value in run.fields.values())
        if reported != rules.organisation_of_key[s.key] or leaked:
            wrong.append(run.id)
    return wrong


def withdrawn_keys(requests, executions, rules):
    """Executions of requests sent too long after their key was withdrawn."""
    by_id = {s.id: s for s in requests}
    wrong = []
    for run in executions:
        s = by_id.get(run.id)
        since = rules.withdrawn_at.get(s.key) if s else None
        if since is not None and s.sent_at > since + rules.max_withdrawal_s:
            wrong.append(run.id)
    return wrong


def runs_after_leave(requests, executions, rules):
    """Executions at targets too long after they were deregistered."""
    return [run.id for run in executions if run.target in rules.left_at and
            run.time > rules.left_at[run.target] + rules.max_drain_s]


def too_many_attempts(requests, executions, rules):
    """Requests that ran on more targets than their route allows."""
    return [request for request, runs in executions_by_id(executions).items()
            if len({run.target for run in runs}) > rules.max_attempts]


def over_rate(requests, executions, rules):
    """Organisations that exceeded their rate in a window of RATE_WINDOW_S."""
    key_of = {s.id: s.key for s in requests}
    times = collections.defaultdict(list)
    for run in executions:
        if run.id in key_of:
            times[rules.organisation_of_key[key_of[run.id]]].append(run.time)
    wrong = []
    for organisation, (rate, burst) in rules.limits.items():
        bound = (rate * RATE_WINDOW_S + burst) * (
            1 + RATE_TOLERANCE) + RATE_SLACK
        start_times = sorted(times[organisation])
        for i, start in enumerate(start_times):
            count = bisect.bisect_right(start_times, start + RATE_WINDOW_S) - i
            if count > bound:
                wrong.append("%s: %d in 5 s" % (organisation, count))
                break
    return wrong


def wrong_denials(requests, executions, rules):
    """Requests refused permanently although their key was never withdrawn."""
    return [s.id for s in requests if s.status in (401, 403, 404) and
            s.key not in rules.withdrawn_at]


def links_lost_too_often(lost):
    """Pairs of nodes that lost the links between them again and again.

    `lost` has (node, peer, time) of each lost link."""
    times = collections.defaultdict(list)
    for node, peer, when in lost:
        times[node, peer].append(when)
    wrong = []
    for (node, peer), at in sorted(times.items()):
        at.sort()
        most = max(bisect.bisect_right(at, start + LINK_WINDOW_S) - i
                   for i, start in enumerate(at))
        if most > MAX_LINKS_LOST:
            wrong.append("%s to %s: %d in 5 s" % (node, peer, most))
    return wrong


CHECKS = (double_orders, false_refusals, broken_answers, unknown_runs,
          wrong_organisations, withdrawn_keys, runs_after_leave,
          too_many_attempts, over_rate, wrong_denials)


def check_all(requests, executions, rules):
    """Returns {name of the check: its violations} for the checks that fail."""
    found = {check.__name__: check(requests, executions, rules)
             for check in CHECKS}
    return {name: wrong for name, wrong in found.items() if wrong}
