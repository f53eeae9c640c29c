"""Finds the answers that a soak of planned stops lost, and what its logs say
about each. Times are seconds of the monotonic clock."""

import collections
import dataclasses
import datetime
import re
import time

import soak_checks

GRACE_S = 6.0
# A target may still be at work after this part of the grace time, on requests
# sent at most LATE_REQUEST_S after the SIGTERM.
LAST_WORK_S = GRACE_S * 5 / 6
LATE_REQUEST_S = 3.0
# Time after which a request that was sent must not be cut off unanswered, even
# if no target has run it.
LOSS_SLACK_S = 1.0


@dataclasses.dataclass
class Sent(soak_checks.SentRequest):
    """A request, and what is needed to judge its loss."""
    host: object = None
    work_s: float = 0.0
    answer_bytes: int = 0
    budget_s: float = 0.0
    opened_at: float = 0.0  # When its connection was opened.
    sent_whole_at: float = float("inf")
    behind: bool = False  # Sent behind another request on its connection.
    received: int = 0  # Bytes of the answer.
    error: str = ""


@dataclasses.dataclass
class Stop:
    """One SIGTERM of a node."""
    at: float
    exited_at: float = float("inf")
    killed: bool = False


def read_logs(folder):
    """Returns the lines of the nodes' logs as (time, node, text)."""
    to_monotonic = time.monotonic() - time.time()
    lines = []
    for log in sorted(folder.glob("node*.log")):
        for line in log.read_text(errors="replace").splitlines():
            found = re.match(r"(\S+)Z \S+ \d+ .*?node=(\S+)", line)
            if found:
                when = datetime.datetime.fromisoformat(
                    found.group(1) + "+00:00").timestamp()
                lines.append((when + to_monotonic, found.group(2), line))
    return lines


def end_of(sent, stop):
    """Returns when the connection ended; some callers notice it later."""
    return min(sent.ended_at, stop.exited_at) if stop else sent.ended_at


def excuse(sent, run, run_host, stop):
    """Returns why the loss of a request that ran does not count, or ""."""
    work_end = run.time + sent.work_s
    if end_of(sent, stop) >= sent.sent_at + sent.budget_s - 0.05:
        return "budget reached"
    if run_host.target_exits.get(run.target, work_end + 1) <= work_end:
        return "target broke off"
    if not stop:
        return "entry node not stopping"
    if (sent.sent_at <= stop.at + LATE_REQUEST_S and
            work_end > stop.at + LAST_WORK_S):
        return "target at work at the end of the grace time"
    return ""


def mechanism(sent, run_host, stop, run_stop, work_end, lines):
    """Guesses from times and logs how an answer was lost."""
    text = " ".join(lines)
    if (stop and stop.killed) or (run_stop and run_stop.killed):
        return "node killed"
    if "reason=silent" in text:
        return "link silent"
    if sent.status == 0:
        exited = stop and stop.exited_at - sent.ended_at < 0.5
        return "connection %s%s" % (
            "cut at the exit" if exited else "cut before the exit",
            ", part of the answer" if sent.received else "")
    ended = [node for node in ("entry", "run") if "requests_ended node=%s " %
             (sent.host.name if node == "entry" else run_host.name) in text]
    if ended:
        unsent = "outcome=UNKNOWN reason=link_lost" in text
        return "the %s node ended its requests at the end of its time%s" % (
            " and the ".join(ended), ", result not received" if unsent else "")
    if "link_lost" in text and run_stop:
        gap = run_stop.exited_at - work_end
        return "link lost, run node exited %s" % (
            "before the end of the work" if gap < -0.02 else
            "within 0.15 s of the end of the work" if gap < 0.15 else
            "later than 0.15 s after the end of the work")
    reason = re.search(r" call_refused .* reason=(\S+)", text)
    return "answered %d, %s" % (sent.status,
                                reason.group(1) if reason else "no line")


def describe(sent, run, run_host, stop, logs):
    """Returns the mechanism of a loss, and its description."""
    # The stop of the process that was beside the target at the time.
    run_stop = next((s for s in run_host.stops if run.time < s.exited_at), None)
    if run_stop and run_stop.at > sent.ended_at + 0.5:
        run_stop = None
    names = (sent.host.name, run_host.name)
    lines = [line for when, node, line in logs
             if "request_id=%s " % sent.id in line or node in names and
             sent.ended_at - 3 < when < sent.ended_at + 0.5 and re.search(
                 r"node_draining|node_stopped|requests_ended|"
                 r"link_lost .*peer=(%s|%s) " % names, line)]
    work_end = run.time + sent.work_s
    kind = mechanism(sent, run_host, stop, run_stop, work_end, lines)

    def after(time_of, since):
        return "none" if not since else "%+.3f" % (time_of - since.at)
    text = ("%s %s entry=%s run=%s status=%d %s received=%d of %d: %s\n"
            "    after SIGTERM of entry: sent %s, ended %s, exit %s; of run "
            "node: started %s, work end %s, ended %s, exit %s" % (
                sent.id, sent.kind, *names, sent.status, sent.error,
                sent.received, sent.answer_bytes, kind,
                after(sent.sent_at, stop), after(sent.ended_at, stop),
                after(stop and stop.exited_at, stop),
                after(run.time, run_stop), after(work_end, run_stop),
                after(sent.ended_at, run_stop),
                after(run_stop and run_stop.exited_at, run_stop)))
    return kind, "\n    ".join([text] + lines)


def find_losses(requests, executions, hosts, logs, stalls):
    """Returns {(excuse, mechanism): descriptions}; a loss without an excuse
    counts."""
    runs = soak_checks.executions_by_id(executions)
    losses = collections.defaultdict(list)
    for sent in requests:
        complete = sent.status and (
            "x-comfreylock-server-signature" in sent.headers)
        if complete or not sent.ended_at:
            continue
        # A caller that did not run may have timed out for that reason.
        if "TimeoutError" in sent.error and any(
                begin < sent.ended_at and end > sent.sent_at
                for begin, end in stalls):
            losses["callers stalled", "not judged"].append(sent.id)
            continue
        # The stop of the process that took the request.
        stop = next((s for s in sent.host.stops
                     if sent.opened_at < s.exited_at), None)
        if stop and stop.at > sent.ended_at:
            stop = None
        if runs[sent.id]:
            run = max(runs[sent.id], key=lambda execution: execution.time)
            run_host = hosts[int(run.target.split("-")[1])]
            kind, text = describe(sent, run, run_host, stop, logs)
            losses[excuse(sent, run, run_host, stop), kind].append(text)
        elif sent.status == 502:
            losses["not run", "answered 502, as if it might have run"].append(
                "%s %s entry=%s" % (sent.id, sent.kind, sent.host.name))
        elif (sent.status == 0 and not sent.behind and stop and
              end_of(sent, stop) - sent.sent_whole_at > LOSS_SLACK_S):
            losses["", "not run, cut off unanswered"].append(
                "%s %s entry=%s, not run: %s; sent %+.3f, ended %+.3f after "
                "SIGTERM" % (sent.id, sent.kind, sent.host.name, sent.error,
                             sent.sent_at - stop.at, sent.ended_at - stop.at))
    return losses
