"""The platform's tables and objects."""

from swifttide_standins.platform import Check, Store, Transaction, Write


def put(txn_id, key, version, value):
    return Transaction(txn_id, (Check("t", key, version),), (Write("t", key, value),))


class TestStore:
    def test_same_id_returns_the_first_outcome(self):
        """An answer is lost after its write, and the host sends the transaction
        again. Applied twice, it would conflict with itself.
        """
        store = Store()
        first = store.commit(put("a", "k", 0, {"n": 1}))
        assert store.commit(put("a", "k", 0, {"n": 1})) == first
        assert first.committed

    def test_version_grows_across_delete(self):
        """A row is deleted and made anew. Were its version to start again, a paused
        host's old condition would hold once more.
        """
        store = Store()
        old = store.commit(put("a", "k", 0, {})).versions[0]
        store.commit(put("b", "k", old, None))
        assert store.commit(put("c", "k", 0, {})).versions[0] > old
        assert not store.commit(put("d", "k", old, {})).committed

    def test_scan_pages_in_key_order(self):
        store = Store()
        for key in ("a/2", "b/1", "a/1", "a/3"):
            store.commit(put(key, key, 0, {}))
        assert [r.key for r in store.scan("t", "a/", "a/1", 1)] == ["a/2"]
        assert [r.key for r in store.scan("t", "a/", "", 9)] == ["a/1", "a/2", "a/3"]

    def test_object_is_never_overwritten(self):
        store = Store()
        outcomes = [store.put_object("o", body) for body in (b"1", b"1", b"2")]
        assert outcomes == [True, False, None]
