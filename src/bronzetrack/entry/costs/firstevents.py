"""Model of the time from a send to the first event of the answer."""

from __future__ import annotations

import math

import attrs

# Half-life of a sample.
HALF_LIFE_S = 30.0
# Samples that each prior coefficient counts as.
PRIOR_WEIGHT = 4.0
# Tokens and milliseconds per unit of a feature, so that typical values of all
# features are about 1.
TOKENS_UNIT = 1_000.0
WORK_UNIT_MS = 100.0

Triple = tuple[float, float, float]


@attrs.frozen
class Coefficients:
    """Coefficients of the model.

    :param start_ms: time for a request without a prompt at an idle engine
    :param token_ms: time per prompt token that has to be read
    :param ahead_share: share of the work ahead that delays the first event
    """

    start_ms: float
    token_ms: float
    ahead_share: float

    def estimate(self, unread: float, ahead_ms: float) -> float:
        """Return the time to the first event in milliseconds.

        :param unread: prompt tokens that the engine has to read
        :param ahead_ms: work ahead of the request, in ms of the engine
        """
        return (
            self.start_ms
            + self.token_ms * unread
            + self.ahead_share * ahead_ms
        )


# Typical values of engines, until a VM has seen answers.
PRIOR = Coefficients(start_ms=15.0, token_ms=0.03, ahead_share=1.0)
# Learned values are limited to these, as a sample may be anything.
LOWEST = Coefficients(start_ms=0.0, token_ms=0.002, ahead_share=0.0)
HIGHEST = Coefficients(start_ms=1_000.0, token_ms=2.0, ahead_share=4.0)


@attrs.define(eq=False)
class FirstEventModel:
    """Least squares fit to decayed samples, drawn towards `PRIOR`.

    :param products: decayed sums of the products of the features, in the order
        11, 12, 13, 22, 23, 33
    :param targets: decayed sums of the features times the measured time
    """

    products: list[float] = attrs.field(factory=lambda: [0.0] * 6)
    targets: list[float] = attrs.field(factory=lambda: [0.0] * 3)
    updated_at: float = 0.0
    _fitted: Coefficients | None = PRIOR

    def add(
        self, unread: float, ahead_ms: float, measured_ms: float, now: float
    ) -> None:
        """Add the measured time of an answer, unless it is not finite."""
        if not math.isfinite(unread + ahead_ms + measured_ms):
            return
        decay = 0.5 ** (max(0.0, now - self.updated_at) / HALF_LIFE_S)
        second, third = unread / TOKENS_UNIT, ahead_ms / WORK_UNIT_MS
        added = (
            1.0,
            second,
            third,
            second * second,
            second * third,
            third * third,
        )
        self.products = [
            decay * old + new for old, new in zip(self.products, added)
        ]
        self.targets = [
            decay * old + feature * measured_ms
            for old, feature in zip(self.targets, (1.0, second, third))
        ]
        self.updated_at = max(now, self.updated_at)
        self._fitted = None

    def fit(self) -> Coefficients:
        """Return the fitted coefficients, within their limits."""
        if self._fitted is None:
            self._fitted = self._solve()
        return self._fitted

    def _solve(self) -> Coefficients:
        p11, p12, p13, p22, p23, p33 = self.products
        p11, p22, p33 = (item + PRIOR_WEIGHT for item in (p11, p22, p33))
        prior = (
            PRIOR.start_ms,
            PRIOR.token_ms * TOKENS_UNIT,
            PRIOR.ahead_share * WORK_UNIT_MS,
        )
        t1, t2, t3 = (
            target + PRIOR_WEIGHT * value
            for target, value in zip(self.targets, prior)
        )
        # The matrix is symmetric and, by the prior, positive definite.
        c11, c12, c13 = (
            p22 * p33 - p23 * p23,
            p13 * p23 - p12 * p33,
            p12 * p23 - p13 * p22,
        )
        c22, c23, c33 = (
            p11 * p33 - p13 * p13,
            p12 * p13 - p11 * p23,
            p11 * p22 - p12 * p12,
        )
        scale = p11 * c11 + p12 * c12 + p13 * c13
        return Coefficients(
            start_ms=_limit(
                (c11 * t1 + c12 * t2 + c13 * t3) / scale,
                LOWEST.start_ms,
                HIGHEST.start_ms,
            ),
            token_ms=_limit(
                (c12 * t1 + c22 * t2 + c23 * t3) / scale / TOKENS_UNIT,
                LOWEST.token_ms,
                HIGHEST.token_ms,
            ),
            ahead_share=_limit(
                (c13 * t1 + c23 * t2 + c33 * t3) / scale / WORK_UNIT_MS,
                LOWEST.ahead_share,
                HIGHEST.ahead_share,
            ),
        )


def _limit(value: float, low: float, high: float) -> float:
    return min(high, max(low, value))
