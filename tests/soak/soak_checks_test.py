"""Shows for each check of the soak that it can fail, and that a good run
passes all of them."""

import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))

from soak_checks import Ran, Rules, Sent, check_all  # noqa: E402


def rules():
    return Rules(organisation_of={"k1": "acme", "k2": "small"},
                 withdrawn={"k2": 100.0}, left={"t1": 50.0},
                 limits={"small": (10, 5)})


def sent(request="r1", kind="order", key="k1", status=200, at=10.0):
    return Sent(request, kind, key, 3, at, at + 0.1, status,
                {"x-comfreylock-server-signature": "s",
                 "x-comfreylock-request-id": request},
                "answer to %s of 3" % request)


def ran(request="r1", target="t2", at=10.05, organisation="acme"):
    return Ran(request, target, at, {"X-Comfreylock-Tenant-Id": organisation})


class SoakChecksTest(unittest.TestCase):
    def broken(self, requests, runs):
        return sorted(check_all(requests, runs, rules()))

    def test_a_good_run_breaks_nothing(self):
        self.assertEqual(self.broken([sent()], [ran()]), [])

    def test_an_order_that_ran_twice(self):
        self.assertEqual(self.broken([sent()], [ran(), ran()]),
                         ["double_orders"])

    def test_a_refused_order_that_ran(self):
        self.assertEqual(self.broken([sent(status=503)], [ran()]),
                         ["false_refusals"])

    def test_an_answer_of_another_request(self):
        wrong = sent()
        wrong.body = "answer to r2 of 3"
        self.assertEqual(self.broken([wrong], [ran()]), ["broken_answers"])

    def test_a_cut_answer(self):
        cut = sent()
        cut.whole = False
        self.assertEqual(self.broken([cut], [ran()]), ["broken_answers"])

    def test_a_run_that_nobody_sent(self):
        self.assertEqual(self.broken([sent()], [ran(), ran("r9")]),
                         ["unknown_runs"])

    def test_another_organisation_and_a_leaked_key(self):
        self.assertEqual(self.broken([sent()], [ran(organisation="small")]),
                         ["wrong_organisations"])
        leak = ran()
        leak.fields["X-Other"] = "has k1 in it"
        self.assertEqual(self.broken([sent()], [leak]), ["wrong_organisations"])

    def test_a_withdrawn_key(self):
        late = sent(key="k2", at=105.5)
        self.assertEqual(
            self.broken([late], [ran(at=105.6, organisation="small")]),
            ["withdrawn_keys"])

    def test_work_for_a_target_that_left(self):
        self.assertEqual(self.broken([sent()], [ran(target="t1", at=52.5)]),
                         ["runs_after_leave"])

    def test_too_many_targets(self):
        runs = [ran(target=t) for t in ("t2", "t3", "t4")]
        self.assertEqual(self.broken([sent(kind="read")], runs),
                         ["too_many_attempts"])

    def test_an_organisation_over_its_rate(self):
        many = [sent("r%d" % i, "read", "k2") for i in range(90)]
        runs = [ran("r%d" % i, organisation="small") for i in range(90)]
        self.assertEqual(self.broken(many, runs), ["over_rate"])

    def test_a_good_key_refused_for_good(self):
        self.assertEqual(self.broken([sent(status=401)], []), ["wrong_denials"])


if __name__ == "__main__":
    unittest.main()
