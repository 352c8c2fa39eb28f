"""Which connections may buffer more bytes, and which readers are given up."""

from swifttide_core.buffering import GiveUp, MemoryBudget, Pause, ReadOn

MEMORY_BYTES = 40_000
"""Gives a budget of 10,000 bytes: pauses from 7,500, gives up from 9,000."""


class TestReadingOn:
    def test_one_slow_reader_may_use_the_budget(self):
        # A target must not be cut off while there is memory.
        budget = MemoryBudget(MEMORY_BYTES)
        budget.update("a", 7_000, 0, 0, 0.0)
        assert budget.decide("a", 9.0) == ReadOn()

    def test_of_many_slow_readers_those_over_their_share_pause(self):
        # Many slow readers together must not take more than the budget.
        budget = MemoryBudget(MEMORY_BYTES)
        for n in range(10):
            budget.update(n, 760, 0, 0, 0.0)
        budget.update("small", 100, 0, 0, 0.0)
        assert {type(budget.decide(n, 0.1)) for n in range(10)} == {Pause}
        assert budget.decide("small", 0.1) == ReadOn()

    def test_no_reader_reads_on_when_the_budget_is_used_up(self):
        # Readers within their share must not add up to more than the budget.
        budget = MemoryBudget(MEMORY_BYTES)
        budget.update("a", 100, 0, 0, 0.0)
        budget.update("large", 8_900, 0, 0, 0.0)
        assert budget.decide("a", 0.1) == Pause()
        budget.update("a", 0, 100, 100, 0.2)
        assert budget.decide("a", 0.2) == ReadOn()
        budget.set_request_bytes(1_100)
        assert budget.decide("a", 0.3) == Pause()

    def test_released_bytes_end_a_pause(self):
        budget = MemoryBudget(MEMORY_BYTES)
        budget.update("a", 5_000, 0, 0, 0.0)
        budget.update("b", 4_000, 0, 0, 0.0)
        assert budget.decide("a", 0.1) == Pause()
        budget.update("b", 0, 4_000, 0, 0.2)
        assert budget.decide("a", 0.2) == ReadOn()
        budget.forget("a")
        assert budget.held_bytes == 0

    def test_bodies_of_requests_take_part(self):
        budget = MemoryBudget(MEMORY_BYTES)
        budget.update("a", 3_000, 0, 0, 0.0)
        budget.set_request_bytes(budget.max_request_bytes)
        assert budget.decide("a", 0.1) == Pause()
        budget.set_request_bytes(0)
        budget.set_upload_bytes(budget.max_unsent_bytes)
        assert budget.decide("a", 0.1) == ReadOn()

    def test_first_answer_that_is_read_whole_goes_on(self):
        # Answers read whole release nothing before their end; if all were paused, none
        # would end.
        budget = MemoryBudget(MEMORY_BYTES)
        for n in range(4):
            budget.update(n, 0, 0, 2_000, 0.0)
        decisions = [budget.decide(n, 0.1) for n in range(4)]
        assert decisions == [ReadOn(), Pause(), Pause(), Pause()]
        budget.update(0, 0, 0, 0, 0.2)
        budget.update(1, 0, 0, 4_000, 0.2)
        assert budget.decide(1, 0.2) == ReadOn()


class TestGivingUp:
    def fill(self):
        budget = MemoryBudget(MEMORY_BYTES)
        for n in range(8):
            budget.update(n, 1_000, 0, 0, 0.0)
        budget.update("stalled", 1_500, 0, 0, 0.0)
        return budget

    def test_stalled_reader_among_fast_ones(self):
        # One reader that doesn't read must not hold back the others.
        budget = self.fill()
        for n in range(8):
            budget.update(n, 1_000, 700, 0, 1.4)
            budget.update(n, 1_000, 1_400, 0, 1.6)
        assert budget.decide(1, 2.0) == GiveUp("stalled", 1_500, 2.0)
        budget.forget("stalled")
        assert budget.decide(1, 2.0) == Pause()
        budget.update(2, 100, 2_300, 0, 2.1)
        budget.update(3, 100, 2_300, 0, 2.1)
        assert budget.decide(1, 2.1) == ReadOn()

    def test_readers_with_progress_are_kept(self):
        # A ready answer is delivered as long as its reader makes progress.
        budget = self.fill()
        budget.update("stalled", 500, 1_500, 0, 1.5)
        for n in range(8):
            budget.update(n, 1_200, 1_000, 0, 1.5)
        assert budget.decide(1, 2.4) == Pause()

    def test_long_pause_gives_up_a_stalled_reader(self):
        # A target cuts off an answer that stays unread for some seconds.
        budget = MemoryBudget(MEMORY_BYTES)
        budget.update("stalled", 4_200, 0, 0, 0.0)
        budget.update("a", 4_000, 0, 0, 2.0)
        assert budget.decide("a", 2.0) == Pause()
        assert budget.decide("a", 2.9) == Pause()
        budget.update("a", 4_000, 4_000, 0, 2.9)
        assert budget.decide("a", 3.0) == GiveUp("stalled", 4_200, 3.0)

    def test_stream_that_is_read_at_once_is_not_stalled(self):
        # A slow stream makes less progress than a slow reader, but holds nothing.
        budget = MemoryBudget(MEMORY_BYTES)
        budget.update("stream", 0, 0, 0, 0.0)
        budget.update("stream", 100, 0, 0, 9.0)
        budget.update("other", 9_500, 0, 0, 9.0)
        assert budget.decide("other", 9.5) == Pause()

    def test_answer_that_is_read_whole_is_not_given_up(self):
        # While a host reads an answer, its reader can make no progress.
        budget = MemoryBudget(MEMORY_BYTES)
        budget.update("a", 0, 0, 5_000, 0.0)
        budget.update("b", 0, 0, 4_500, 0.0)
        assert budget.decide("b", 5.0) == Pause()
