"""Tokens of the requests that an engine has in progress.

Load pattern: long prompts of several VMs arrive at the same engine. An engine
crashes, with all that it runs, if its requests exceed its memory.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from bronzetrack.entry.forwarding import requests


@attrs.define
class Held:
    """Requests of this VM that an engine has in progress.

    :param tokens: sum of the tokens that they may need
    """

    count: int = 0
    tokens: int = 0

    def add(self, tokens: int) -> None:
        """Add a request that was sent."""
        self.count += 1
        self.tokens += tokens

    def remove(self, tokens: int) -> None:
        """Remove a request that has ended."""
        self.count -= 1
        self.tokens -= tokens


def count_tokens(request: requests.Request) -> int:
    """Return how many tokens a request may need."""
    return request.prompt_tokens + request.output_tokens


def fits(
    tokens: int, held: Held, active: int, mean_tokens: float, kv_tokens: int
) -> bool:
    """Return whether an engine has memory for one more request.

    A request that alone needs more is sent, as the engine rejects it itself.

    :param tokens: tokens that the request may need
    :param active: requests of all VMs that the engine has in progress; those
        that are not known here count as mean ones
    :param mean_tokens: mean of the tokens of a request
    :param kv_tokens: memory of the engine, 0 if unknown
    """
    if tokens > kv_tokens:
        return True
    others = max(0, active - held.count)
    return held.tokens + others * mean_tokens + tokens <= kv_tokens
