"""Tests that the state of the configuration never returns to an older version."""

from swifttide_core.configuration import Change, ConfigState
from swifttide_core.documents import DocumentKind

KEY = "ab" * 32


def key_change(version, withdrawn):
    document = {"key_hash": KEY, "customer": "c", "withdrawn": withdrawn}
    return Change(version, DocumentKind.KEY, KEY, document)


class TestConfigState:
    def test_older_state_does_not_restore_a_withdrawn_key(self):
        """Guards against requests that are served with a withdrawn key.

        The store answers from a lagging replica after the key was withdrawn.
        """
        state = ConfigState()
        state.apply([key_change(1, False), key_change(2, True)])
        state.apply([key_change(1, False)])
        state.load(1, [key_change(1, False)])
        assert state.version == 2
        assert state.get(DocumentKind.KEY, KEY).withdrawn

    def test_changes_after_a_gap_are_not_applied(self):
        """Guards against an edit that a host never receives.

        A peer's answer is truncated, so that a change in the middle is missing. If the
        host counted it as applied, it would not request it again.
        """
        state = ConfigState()
        state.apply([key_change(1, False), key_change(3, True)])
        assert state.version == 1

    def test_log_entries_before_a_newer_document_change_nothing(self):
        state = ConfigState()
        state.load(1, [key_change(3, True)])
        state.apply([key_change(2, False), key_change(3, True)])
        assert state.version == 3
        assert state.get(DocumentKind.KEY, KEY).withdrawn

    def test_removed_document_is_gone(self):
        state = ConfigState()
        state.apply([key_change(1, False), Change(2, DocumentKind.KEY, KEY, None)])
        assert state.get(DocumentKind.KEY, KEY) is None
        assert state.latest_change(DocumentKind.KEY, KEY).version == 2

    def test_host_far_behind_catches_up_from_a_peer(self):
        """Guards against a zone that can't catch up after days without the platform.

        It reaches only one host of another zone. That host doesn't keep old entries
        of the log, so the latest changes of all documents must be sufficient.
        """
        ahead, behind = ConfigState(), ConfigState()
        behind.apply([key_change(1, False)])
        ahead.load(9, [key_change(9, True)])
        behind.load(ahead.version, ahead.latest_changes_after(behind.version))
        assert behind.version == 9
        assert behind.get(DocumentKind.KEY, KEY).withdrawn
