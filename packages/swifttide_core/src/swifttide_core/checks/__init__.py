"""Strict decoding and value checks of settings files and documents.

The checks return their errors instead of raising, so that all errors of a file can be
reported at once.
"""

from swifttide_core.checks._decoding import decode_fields, format_value
from swifttide_core.checks._field_error import FieldError
from swifttide_core.checks._field_errors import InvalidFields
from swifttide_core.checks._json_decoder import JsonDecoder, UnreadableJson
from swifttide_core.checks._json_text import load_json_with_comments
from swifttide_core.checks._ranges import (
    check_between,
    check_each,
    check_field_value,
    check_host_address,
    check_ip_address,
    check_key_hash,
    check_name,
    check_one_of,
    check_port,
    check_url_by_ip,
)

__all__ = [
    "FieldError",
    "InvalidFields",
    "JsonDecoder",
    "UnreadableJson",
    "check_between",
    "check_each",
    "check_field_value",
    "check_host_address",
    "check_ip_address",
    "check_key_hash",
    "check_name",
    "check_one_of",
    "check_port",
    "check_url_by_ip",
    "decode_fields",
    "format_value",
    "load_json_with_comments",
]
