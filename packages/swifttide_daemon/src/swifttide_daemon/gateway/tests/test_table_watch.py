"""Tests of following a table of the store."""

import asyncio

from swifttide_daemon.gateway.store._table_watch import TableWatch
from swifttide_standins.paused_clock import run_paused


class RecordingWatch:
    """Table watch with callbacks that record the rows and states it reports."""

    def __init__(self, store, log, copy=None, pause_seconds=0.1):
        self.rows = {}
        self.states = []
        self.changes = []

        async def find_copy(table):
            return copy

        self.watch = TableWatch(
            store,
            "t",
            self.all,
            self.changed,
            self.states.append,
            find_copy,
            log,
            pause_seconds,
        )

    def all(self, rows):
        self.rows = {r.key.key: r.value for r in rows}

    def changed(self, rows):
        newest = 0
        for row in rows:
            if row.value == self.rows.get(row.key.key):
                continue
            newest = row.version
            self.changes.append(row)
            if row.value is None:
                self.rows.pop(row.key.key, None)
            else:
                self.rows[row.key.key] = row.value
        return newest


class TestTableWatch:
    def test_changes_and_removals_are_reported(self, store, log):
        async def main():
            store.rows.put("t", "a", b"1")
            seen = RecordingWatch(store, log)
            task = asyncio.create_task(seen.watch.run())
            await asyncio.sleep(0.5)
            store.rows.put("t", "b", b"2")
            store.rows.remove("t", "a")
            await asyncio.sleep(0.5)
            task.cancel()
            return seen.rows

        assert run_paused(main()) == {"b": b"2"}

    def test_lost_history_replaces_all_rows(self, store, log):
        async def main():
            store.rows.put("t", "a", b"1")
            seen = RecordingWatch(store, log)
            task = asyncio.create_task(seen.watch.run())
            await asyncio.sleep(0.5)
            store.down = True
            await asyncio.sleep(0.5)
            store.rows.remove("t", "a")
            store.rows.put("t", "b", b"2")
            store.rows.forget_history()
            store.down = False
            await asyncio.sleep(1.0)
            task.cancel()
            return seen.rows

        assert run_paused(main()) == {"b": b"2"}

    def test_start_during_an_outage_uses_a_peer_copy(self, store, log):
        """Guards against a host that serves nothing after a restart in an outage.

        The host restarts while the store is down. It uses the rows that other hosts
        know until the store is back, and then follows the store.
        """

        async def main():
            store.rows.put("t", "a", b"1")
            copy = await store.read("t", "")
            store.down = True
            seen = RecordingWatch(store, log, copy)
            task = asyncio.create_task(seen.watch.run())
            await asyncio.sleep(1.0)
            during = dict(seen.rows)
            store.rows.put("t", "a", b"2")
            store.down = False
            await asyncio.sleep(1.0)
            task.cancel()
            return during, seen.rows

        assert run_paused(main()) == ({"a": b"1"}, {"a": b"2"})

    def test_dead_connection_is_detected_by_newer_peer_changes(self, store, log):
        """Guards against an outdated configuration during a long poll that is dead.

        The connection of the long poll dies without a reset. Beacons of other hosts
        state a newer change, and the host polls again at once instead of waiting for
        the timeout.
        """

        async def main():
            store.rows.put("t", "a", b"1")
            seen = RecordingWatch(store, log)
            task = asyncio.create_task(seen.watch.run())
            await asyncio.sleep(0.2)
            answering = store.changes

            async def silent(*args):
                store.changes = answering
                await asyncio.sleep(60.0)

            store.changes = silent
            await asyncio.sleep(2.5)
            store.rows.put("t", "a", b"2")
            await asyncio.sleep(1.0)
            before = dict(seen.rows)
            seen.watch.on_peer_change(store.rows.version)
            await asyncio.sleep(0.1)
            task.cancel()
            return before, seen.rows

        assert run_paused(main()) == ({"a": b"1"}, {"a": b"2"})

    def test_renewed_rows_cost_few_calls(self, store, log):
        """Guards against one poll per renewal.

        Thirty targets renew their entries all the time, and many hosts follow them. A
        poll per renewal would take most of the store's capacity.
        """

        async def main():
            seen = RecordingWatch(store, log, pause_seconds=0.8)
            task = asyncio.create_task(seen.watch.run())
            for i in range(250):
                store.rows.put("t", f"target{i % 30}", b"as before")
                await asyncio.sleep(0.04)
            task.cancel()
            return store.n_calls, seen.watch.newest_change

        n_calls, newest = run_paused(main())
        assert n_calls <= 16
        assert newest < 31

    def test_newer_peer_change_ends_the_pause(self, store, log):
        """Guards against requests to a target that has begun to drain.

        The target begins to drain just after this host has polled, and another host
        already knows. Without an early poll this host would send requests to the target
        until its pause is over.
        """

        async def main():
            seen = RecordingWatch(store, log, pause_seconds=0.8)
            task = asyncio.create_task(seen.watch.run())
            store.rows.put("t", "a", b"1")
            await asyncio.sleep(0.2)
            store.rows.put("t", "a", b"draining")
            seen.watch.on_peer_change(store.rows.version)
            await asyncio.sleep(0.05)
            task.cancel()
            return seen.rows

        assert run_paused(main()) == {"a": b"draining"}

    def test_large_answer_on_a_narrow_link_arrives(self, store, log):
        """Guards against a large answer that is aborted by each beacon.

        A configuration of two thousand routes takes most of a second to arrive over a
        narrow link, while beacons of other hosts keep stating its version. If each
        beacon aborted and repeated the poll, the answer would never arrive, and the
        host would keep its old configuration permanently.
        """

        async def main():
            answering = store.changes

            async def slow(*args):
                found = await answering(*args)
                await asyncio.sleep(0.7)
                return found

            store.changes = slow
            store.rows.put("t", "a", b"1")
            seen = RecordingWatch(store, log)
            task = asyncio.create_task(seen.watch.run())
            await asyncio.sleep(1.0)
            store.rows.put("t", "a", b"2")
            for _ in range(15):
                await asyncio.sleep(0.2)
                seen.watch.on_peer_change(store.rows.version)
            task.cancel()
            return seen.rows

        assert run_paused(main()) == {"a": b"2"}


class LateStore:
    """Store whose answers to polls that wait take a second."""

    SECONDS = 1.0

    def __init__(self, store):
        self._store = store
        self.read = store.read
        self.reconnect = store.reconnect

    async def changes(self, table, after, wait_seconds):
        found = await self._store.changes(table, after, wait_seconds)
        if wait_seconds:
            await asyncio.sleep(self.SECONDS)
        return found


class TestRefresh:
    def test_changes_within_the_pause_are_applied(self, store, log):
        """Guards against a host that knows nothing newer than its last poll."""

        async def main():
            store.rows.put("t", "a", b"1")
            seen = RecordingWatch(store, log, pause_seconds=5.0)
            task = asyncio.create_task(seen.watch.run())
            await asyncio.sleep(2.5)
            store.rows.put("t", "b", b"2")
            before = dict(seen.rows)
            is_refreshed = await seen.watch.refresh()
            task.cancel()
            return before, is_refreshed, seen.rows

        before, is_refreshed, rows = run_paused(main())
        assert (before, is_refreshed) == ({"a": b"1"}, True)
        assert rows == {"a": b"1", "b": b"2"}

    def test_poll_under_way_reverts_nothing(self, store, log):
        """Guards against an older answer that arrives after a newer one."""

        async def main():
            store.rows.put("t", "a", b"1")
            seen = RecordingWatch(LateStore(store), log)
            task = asyncio.create_task(seen.watch.run())
            await asyncio.sleep(0.5)
            store.rows.put("t", "a", b"2")
            await asyncio.sleep(0.1)
            store.rows.remove("t", "a")
            await seen.watch.refresh()
            refreshed = dict(seen.rows)
            seen.changes.clear()
            await asyncio.sleep(LateStore.SECONDS + 0.5)
            task.cancel()
            return refreshed, seen.rows, seen.changes

        assert run_paused(main()) == ({}, {}, [])

    def test_store_that_is_down(self, store, log):
        async def main():
            seen = RecordingWatch(store, log)
            task = asyncio.create_task(seen.watch.run())
            await asyncio.sleep(0.5)
            store.down = True
            is_refreshed = await seen.watch.refresh()
            task.cancel()
            return is_refreshed

        assert run_paused(main()) is False
