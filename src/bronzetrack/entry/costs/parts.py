"""Parts of prompts that engines probably keep, by what this VM sent there."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator

import attrs

# Parts that are remembered of one engine.
MAX_PARTS = 256

Chain = tuple[tuple[int, int], ...]


def make_chain(
    model_key: tuple[str, str], parts: Iterable[tuple[str, int]]
) -> Chain:
    """Return the parts of a prompt with keys that stand for their positions.

    An engine uses a part only for the same model and adapter and after the
    same parts, so that the key of a part depends on all of them.

    :param parts: id and number of tokens of each part
    """
    return tuple(_iterate_chain(model_key, parts))


def _iterate_chain(
    model_key: tuple[str, str], parts: Iterable[tuple[str, int]]
) -> Iterator[tuple[int, int]]:
    key = hash(model_key)
    for part, tokens in parts:
        key = hash((key, part))
        yield key, tokens


@attrs.define(eq=False)
class EngineParts:
    """Parts that one start of an engine probably keeps.

    :param start: id of the engine's start
    :param tokens: tokens of all parts
    :param by_key: tokens of each part, the least recently used one first
    """

    start: str
    tokens: int = 0
    by_key: dict[int, int] = attrs.field(factory=dict)

    def record(self, chain: Chain, max_tokens: int) -> None:
        """Record that the engine has read the parts of a prompt.

        The last parts are recorded first: without the parts before it, a part
        is of no use, and must be discarded before them.

        :param max_tokens: memory of the engine in tokens
        """
        for key, tokens in reversed(chain):
            self.tokens += tokens - self.by_key.pop(key, 0)
            self.by_key[key] = tokens
        while self.by_key and (
            self.tokens > max_tokens or len(self.by_key) > MAX_PARTS
        ):
            self.tokens -= self.by_key.pop(next(iter(self.by_key)))

    def count_kept(self, chain: Chain) -> int:
        """Return how many of the first tokens of a prompt are kept."""
        kept = 0
        for key, tokens in chain:
            if key not in self.by_key:
                break
            kept += tokens
        return kept


@attrs.define(eq=False)
class KeptParts:
    """Parts that engines probably keep, by id of the engine."""

    by_identity: dict[str, EngineParts] = attrs.field(factory=dict)

    def record(
        self, identity: str, start: str, chain: Chain, max_tokens: int
    ) -> None:
        """Record that a start of an engine has answered a prompt."""
        found = self.by_identity.get(identity)
        if found is None or found.start != start:
            found = self.by_identity[identity] = EngineParts(start)
        found.record(chain, max_tokens)

    def count_kept(self, identity: str, start: str, chain: Chain) -> int:
        """Return how many tokens of a prompt a start of an engine keeps."""
        found = self.by_identity.get(identity)
        if found is None or found.start != start:
            return 0
        return found.count_kept(chain)

    def discard_unlisted(self, identities: set[str]) -> None:
        """Discard the parts of engines whose ids are not listed."""
        for identity in set(self.by_identity) - identities:
            del self.by_identity[identity]
