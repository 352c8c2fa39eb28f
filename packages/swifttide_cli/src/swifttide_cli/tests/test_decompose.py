"""``swifttide decompose`` on logs as hosts write them."""

from swifttide_cli.commands._decompose import Decompose
from swifttide_cli.tests.test_explain import line


def served(at, program="p1", n_events=3, **more):
    hops = {"rate_seconds": 0.01, "sent_seconds": 0.03, "first_seconds": 0.08}
    told = {"program": program, "n_events": n_events, "seconds": 0.1} | hops
    return line(at, "request_served", **(told | more))


def refused(at, program, reason="rate_limited"):
    return line(at, "request_refused", program=program, reason=reason, status=429)


class TestDecompose:
    def decompose(self, tmp_path, *log, window=2.0):
        path = tmp_path / "host.log"
        path.write_text("".join(log) + "not json\n")
        return Decompose([str(path)], window)(None)

    def test_refusals_of_programs_under_way_stand_apart(self, tmp_path):
        """Guards against refusals that lose what was spent and look like any other."""
        found = self.decompose(
            tmp_path, served(1.0), refused(1.5, "p1"), refused(1.6, "p2")
        )
        (window,) = found.ok.data["windows"]
        assert (window["refused_new"], window["refused_under_way"]) == (1, 1)
        assert window["reasons"] == {"rate_limited": 2}

    def test_hops_by_window(self, tmp_path):
        found = self.decompose(
            tmp_path,
            served(1.0),
            served(1.5, n_events=0),
            served(5.5, seconds=0.7),
            refused(5.6, "p9", "no answer: TimeoutError"),
        )
        first, second = found.ok.data["windows"]
        assert (first["turns"], first["calls"], first["second"]) == (1, 1, 0.0)
        assert abs(first["admitted_p95"] - 0.02) < 1e-9
        assert (second["second"], second["whole_p95"]) == (4.0, 0.7)
        assert second["reasons"] == {"no answer": 1}
        assert found.ok.rows[1][-1] == "no answer=1"

    def test_logs_without_requests(self, tmp_path):
        assert "no line of a request" in self.decompose(tmp_path).error.message

    def test_window_that_makes_no_sense(self, tmp_path):
        found = self.decompose(tmp_path, served(1.0), window=0.0)
        assert "--window 0" in found.error.message

    def test_file_that_is_not_there(self):
        assert "can't be read" in Decompose(["nowhere.log"])(None).error.message
