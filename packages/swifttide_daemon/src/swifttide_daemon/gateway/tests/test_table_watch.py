"""Following a table."""

import asyncio

from swifttide_daemon.gateway.store._table_watch import TableWatch
from swifttide_standins.paused_clock import run_paused


class RecordingWatch:
    """Collects what a watch hands over."""

    def __init__(self, store, log, copy=None, pause_seconds=0.1):
        self.rows = {}
        self.states = []

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
            if row.value is None:
                self.rows.pop(row.key.key, None)
            else:
                self.rows[row.key.key] = row.value
        return newest


class TestTableWatch:
    def test_changes_and_removals(self, store, log):
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

    def test_start_during_an_outage_takes_another_hosts_rows(self, store, log):
        """A host is started again while the store is away.

        The others know configuration and targets; until the store is back it serves
        by what they know, and then follows the store.
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

    def test_silent_connection_is_noticed_by_what_others_know(self, store, log):
        """The connection that waits for changes has gone silent, without a reset.

        Beacons of other hosts name a newer change; the host asks again at once rather
        than act on its old configuration until the question's time is over.
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
        """Thirty targets renew their entries all the time, and each of many hosts
        follows them. Asked for at each renewal, they would take most of what the store
        can answer.
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

    def test_news_of_other_hosts_end_the_pause(self, store, log):
        """A target begins to drain just after this host has asked for changes; another
        host knows. Until the pause is over this host would go on sending to it.
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
        """The configuration has grown to two thousand routes and takes most of a second
        to arrive at a host with a narrow link, while beacons of the others go on
        naming it. Given up at each beacon and asked for again, it would never arrive:
        the host would serve by its old configuration for good.
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
