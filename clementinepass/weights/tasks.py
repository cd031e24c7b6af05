"""Helpers for asyncio tasks."""

from __future__ import annotations

import asyncio
import typing


async def cancel(*tasks: asyncio.Future[typing.Any]) -> None:
    """Cancel tasks and wait until all have ended, whatever their outcome."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
