"""Tests that each check of the soak detects its violation, and that a correct
run passes all checks."""

import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))

from soak_checks import (Execution, Rules, SentRequest,  # noqa: E402
                         check_all, links_lost_too_often)


def rules():
    return Rules(organisation_of_key={"k1": "acme", "k2": "small"},
                 withdrawn_at={"k2": 100.0}, left_at={"t1": 50.0},
                 limits={"small": (10, 5)})


def sent_request(request="r1", kind="order", key="k1", status=200, at=10.0):
    return SentRequest(request, kind, key, 3, at, at + 0.1, status,
                       {"x-comfreylock-server-signature": "s",
                        "x-comfreylock-request-id": request},
                       "answer to %s of 3" % request)


def execution(request="r1", target="t2", at=10.05, organisation="acme"):
    return Execution(request, target, at,
                     {"X-Comfreylock-Tenant-Id": organisation})


class SoakChecksTest(unittest.TestCase):
    def failed(self, requests, runs):
        """Names of the checks that fail."""
        return sorted(check_all(requests, runs, rules()))

    def test_correct_run_passes_all_checks(self):
        self.assertEqual(self.failed([sent_request()], [execution()]), [])

    def test_order_executed_twice(self):
        self.assertEqual(
            self.failed([sent_request()], [execution(), execution()]),
            ["double_orders"])

    def test_refused_order_executed(self):
        self.assertEqual(self.failed([sent_request(status=503)], [execution()]),
                         ["false_refusals"])

    def test_answer_to_other_request(self):
        wrong = sent_request()
        wrong.body = "answer to r2 of 3"
        self.assertEqual(self.failed([wrong], [execution()]),
                         ["broken_answers"])

    def test_truncated_answer(self):
        truncated = sent_request()
        truncated.complete = False
        self.assertEqual(self.failed([truncated], [execution()]),
                         ["broken_answers"])

    def test_execution_without_request(self):
        self.assertEqual(
            self.failed([sent_request()], [execution(), execution("r9")]),
            ["unknown_runs"])

    def test_other_organisation_or_leaked_key(self):
        self.assertEqual(
            self.failed([sent_request()], [execution(organisation="small")]),
            ["wrong_organisations"])
        leaking = execution()
        leaking.fields["X-Other"] = "has k1 in it"
        self.assertEqual(self.failed([sent_request()], [leaking]),
                         ["wrong_organisations"])

    def test_withdrawn_key_accepted_too_long(self):
        late = sent_request(key="k2", at=105.5)
        self.assertEqual(
            self.failed([late], [execution(at=105.6, organisation="small")]),
            ["withdrawn_keys"])

    def test_execution_after_target_left(self):
        self.assertEqual(
            self.failed([sent_request()], [execution(target="t1", at=52.5)]),
            ["runs_after_leave"])

    def test_attempts_at_too_many_targets(self):
        runs = [execution(target=t) for t in ("t2", "t3", "t4")]
        self.assertEqual(self.failed([sent_request(kind="read")], runs),
                         ["too_many_attempts"])

    def test_organisation_over_rate(self):
        many = [sent_request("r%d" % i, "read", "k2") for i in range(90)]
        runs = [execution("r%d" % i, organisation="small") for i in range(90)]
        self.assertEqual(self.failed(many, runs), ["over_rate"])

    def test_valid_key_refused_permanently(self):
        self.assertEqual(self.failed([sent_request(status=401)], []),
                         ["wrong_denials"])

    def test_links_lost_again_and_again(self):
        lost = [("a", "b", 1 + i * 0.4) for i in range(30)]
        self.assertEqual(links_lost_too_often(lost), ["a to b: 13 in 5 s"])
        lost = [("a", "b", 1.0 + i) for i in range(30)]
        self.assertEqual(links_lost_too_often(lost), [])
        lost = [("a", "p%d" % i, 1.0) for i in range(30)]
        self.assertEqual(links_lost_too_often(lost), [])


if __name__ == "__main__":
    unittest.main()
