"""Odd documents of an operator, from the text to the checks."""

import json

import pytest

from swifttide_core.checks import load_json_with_comments
from swifttide_core.documents import check_document

DEPTH = 100_000
TARGET = {
    "name": "t",
    "kind": "service",
    "zone": "z",
    "url": "http://10.0.0.1:80",
    "serves": "s",
    "max_concurrency": 1,
}
ODD_VALUES = {
    "deep_array": "[" * DEPTH + "]" * DEPTH,
    "deep_object": '{"a":' * DEPTH + "1" + "}" * DEPTH,
    "nested": "[" * 500 + "]" * 500,
    "many_digits": "9" * 400,
    "too_many_digits": "9" * 5000,
    "out_of_range": "1e400",
    "not_a_number": "NaN",
    "negative": "-1",
    "fraction": "1.5",
    "empty": '""',
    "surrogate": '"\\ud800"',
    "duplicate_keys": '{"a": 1, "a": 2}',
    "list": "[1]",
    "none": "null",
}


def errors_of(text):
    loaded = load_json_with_comments(text)
    checked = loaded.bind(lambda raw: check_document("target", raw))
    return [str(error) for error in checked.error]


@pytest.mark.parametrize("name", [*TARGET, "rumour"])
@pytest.mark.parametrize("kind", ODD_VALUES)
def test_odd_value_is_an_error_that_can_be_shown(kind, name):
    """Guards against a command or a host that ends for an operator's document."""
    others = json.dumps({n: v for n, v in TARGET.items() if n != name})
    errors = errors_of(f'{others[:-1]}, "{name}": {ODD_VALUES[kind]}}}')
    assert errors
    assert "".join(errors).encode()


def test_odd_name_of_a_member_is_an_error_that_can_be_shown():
    """Guards against an error that can't be written to a log."""
    assert "".join(errors_of('{"\\ud800": 1}')).encode()


@pytest.mark.parametrize(
    "port", ["0", "65536", "-1", "1" + "0" * 30, "http", "8\u00b2"]
)
def test_port_out_of_range_is_an_error(port):
    """Guards against a target that no call can reach."""
    text = json.dumps(TARGET | {"url": f"http://10.0.0.1:{port}"})
    assert errors_of(text)
