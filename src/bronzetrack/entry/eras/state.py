"""Era of the store as this VM knows it."""

from __future__ import annotations

import attrs


@attrs.frozen
class StoreEra:
    """Era of the store and what this VM has seen of its rises.

    :param number: era, 0 if the store states none
    :param restores: rises that this VM has seen; the first era is none
    """

    number: int = 0
    restores: int = 0
