"""Tests of the removal of expired rows."""

import asyncio

from swifttide_daemon.gateway.store._row_reaper import REMOVAL_MARGIN_SECONDS, RowReaper
from swifttide_daemon.gateway.store._shared_store import RowKey
from swifttide_standins.paused_clock import run_paused


def key(number, part="p"):
    return RowKey("t", part, f"k{number}")


class TestRowReaper:
    def write(self, store, reaper, number, part="p"):
        store.rows.put("t", f"k{number}", b"v", part)
        reaper.remove_after(key(number, part), store.rows.version, 60.0)

    def test_removes_rows_after_the_margin_and_not_before(self, store, log):
        async def main():
            reaper = RowReaper(store, log)
            task = asyncio.create_task(reaper.run())
            for i in range(120):
                self.write(store, reaper, i, f"p{i % 3}")
            await asyncio.sleep(60.0 + REMOVAL_MARGIN_SECONDS - 5.0)
            before = len(store.rows.rows)
            await asyncio.sleep(30.0)
            task.cancel()
            return before, len(store.rows.rows)

        assert run_paused(main()) == (120, 0)

    def test_row_written_by_another_host_since_is_kept(self, store, log):
        """Guards against the removal of an account that another host still uses.

        Two hosts serve one program, and one of them removes its expired rows. Without
        the account, the program could spend its budget a second time.
        """

        async def main():
            reaper = RowReaper(store, log)
            task = asyncio.create_task(reaper.run())
            self.write(store, reaper, 1)
            self.write(store, reaper, 2)
            store.rows.put("t", "k1", b"other", "p")
            await asyncio.sleep(60.0 + REMOVAL_MARGIN_SECONDS + 20.0)
            task.cancel()
            return [place[2] for place in store.rows.rows]

        assert run_paused(main()) == ["k1"]

    def test_removal_resumes_after_a_store_outage(self, store, log):
        async def main():
            reaper = RowReaper(store, log)
            task = asyncio.create_task(reaper.run())
            self.write(store, reaper, 1)
            store.down = True
            await asyncio.sleep(60.0 + REMOVAL_MARGIN_SECONDS + 5.0)
            store.down = False
            await asyncio.sleep(REMOVAL_MARGIN_SECONDS + 5.0)
            task.cancel()
            return len(store.rows.rows)

        assert run_paused(main()) == 0
