"""Tests of the validation of configuration documents."""

from pathlib import Path

import pytest

from swifttide_core.checks import load_json_with_comments
from swifttide_core.documents import check_document, document_name

EXAMPLES = Path(__file__).parents[6] / "examples" / "documents"
KEY_HASH = "0" * 64


def error_paths(kind, raw):
    return {e.path for e in check_document(kind, raw).error}


class TestCheckDocument:
    @pytest.mark.parametrize("path", sorted(EXAMPLES.iterdir()), ids=lambda p: p.name)
    def test_example_documents_are_valid(self, path):
        kind, _, name = path.stem.partition("-")
        raw = load_json_with_comments(path.read_text()).ok
        document = check_document(kind, raw).ok
        assert document_name(kind, document) == name

    def test_all_errors_of_a_profile_are_reported(self):
        raw = {
            "name": "night shift",
            "customers": ["a", "a", "b/c"],
            "never_repeat": ["/charge", "fees"],
            "max_turns": 0,
            "max_turn_tokens": 600_000,
            "weight": 0,
            "deadline_seconds": 1e9,
        }
        assert error_paths("profile", raw) == {
            "name",
            "customers[1]",
            "customers[2]",
            "never_repeat[0]",
            "max_turns",
            "max_turn_tokens",
            "weight",
            "deadline_seconds",
        }

    def test_wrong_types_and_unknown_members(self):
        raw = {"name": 3, "weight": "1", "history": "eternal", "deadline": 3}
        assert error_paths("profile", raw) == {"name", "weight", "history", "deadline"}

    def test_key_grant_needs_either_customer_or_operator(self):
        raw = {"key_hash": KEY_HASH, "operator": True, "customer": "c"}
        assert error_paths("key", raw) == {"customer"}
        assert error_paths("key", {"key_hash": KEY_HASH}) == {"customer"}

    def test_errors_do_not_contain_the_key(self):
        """Guards against keys in logs.

        A key is given in place of its hash, and the refusal is logged.
        """
        for bad in ("sk-secret", ["sk-secret"]):
            errors = check_document("key", {"key_hash": bad, "customer": "c"}).error
            assert "sk-secret" not in str([str(e) for e in errors])

    @pytest.mark.parametrize(
        "url",
        [
            "http://user:pw@127.0.0.1:1",
            "http://127.0.0.1:1?x=1",
            "ftp://127.0.0.1",
            "http://engine:80",
            "http://127.0.0.1:99999",
            "",
        ],
    )
    def test_invalid_target_url_is_refused(self, url):
        raw = {
            "name": "t",
            "kind": "engine",
            "zone": "z",
            "url": url,
            "serves": "m",
        }
        assert error_paths("target", raw) == {"url"}
        assert "pw" not in str(check_document("target", raw).error)

    def test_customer_with_nan_rate(self):
        raw = {"name": "c", "rate_per_second": float("nan"), "burst": 0}
        assert error_paths("customer", raw) == {"rate_per_second", "burst"}

    def test_unknown_kind(self):
        assert error_paths("planet", {}) == {"kind"}
