"""Waiting for what another task brings about."""

import asyncio

MAX_SECONDS = 10.0


async def until(condition):
    """Wait until a condition holds; raises `TimeoutError` if it never does."""
    async with asyncio.timeout(MAX_SECONDS):
        while not condition():
            await asyncio.sleep(0.01)
