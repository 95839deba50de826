"""Learns how fast engines are compared with the others of their service.

Predictions assume one speed for all engines. Where all of them are faster or slower than assumed, the order
of placements is right already, so what counts is an engine's speed relative to the median of its peers.

A sample is the ratio of the seconds that something took to the seconds predicted. Its noise mostly makes it
too long: queues, freezes, other prompts' prefills between two steps. So an estimate is a median over some
seconds.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from math import inf, isfinite
from statistics import median

MIN_FACTOR = 0.5
MAX_FACTOR = 4.0
"""Bounds of a learned factor. Engines differ by less; the rest are wrong samples."""

MIN_RATIO = 0.02
MAX_RATIO = 50.0
"""Bounds of a sample, far apart since the speed that predictions assume may be wrong for all engines."""

MIN_DIFFERENCE = 0.15
"""Difference from the prior from which a factor is used."""

MIN_SAMPLES = 8
"""Samples from which a factor is used."""

MIN_STEP_SAMPLES = 16
"""The same for steps, whose duration also depends on what else the engine prefills meanwhile. With 8, engines
of one speed were taken for different ones for half a second at a time."""

MAX_SAMPLES = 24
"""Samples kept of each engine."""

SAMPLE_SPACING_S = 0.25
"""Shortest time between two samples that are kept. An engine that is slow for 600 ms yields three in a row at
most, which do not move the median of eight."""

SAMPLE_TTL_S = 30.0
"""Seconds after which a sample is dropped."""

HALF_LIFE_S = 10.0
"""Seconds without samples in which the difference of a factor from 1.0 halves."""

MIN_SAME_SIDE_SHARE = 0.85
"""Share of samples that must be on the same side of the peers' median: 7 of 8, or 21 of 24."""

MIN_PEERS = 3
"""Engines with enough samples from which their median tells what is usual."""

MIN_PREFILL_S = 0.015
"""Shortest predicted prefill whose duration is used. Network, connection set-up and one step take some
milliseconds, which would dominate a shorter one."""

MAX_DELAY_SHARE = 0.35
"""Most delay predicted besides the prefill, as a share of it. Behind a longer queue, the sample would measure
the error of the queue's prediction."""

MIN_EVENTS = 8
"""Fewest events of a stream whose pace is used; fewer may arrive together."""

ASSUMED_STEP_S = 0.004
"""Seconds assumed between two events of a stream; the peers' median cancels its error."""


@dataclass(frozen=True)
class EngineSpeed:
    """The speed of one incarnation of an engine; 1.0 is the prior.

    prefill_factor, step_factor: seconds taken over seconds predicted, above 1 for slow engines. samples:
    those behind the better known factor. observed_at: monotonic seconds of the last sample.
    """

    prefill_factor: float = 1.0
    step_factor: float = 1.0
    samples: int = 0
    observed_at: float = -inf


PRIOR = EngineSpeed()
"""The speed of an engine of which nothing is known."""


@dataclass(frozen=True)
class PrefillPrediction:
    """What was predicted for a prompt when it was placed, at the prior's speed.

    prefill_s: for its own tokens. delay_s: for the queue and the steps of other runs. fetched: tokens to
    fetch from elsewhere, whose duration depends on links.
    """

    prefill_s: float
    delay_s: float
    fetched: int = 0


@dataclass
class RatioWindow:
    """The last samples of one kind, as monotonic seconds and ratio."""

    samples: deque[tuple[float, float]] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))

    def add(self, ratio: float, now: float) -> None:
        """Keep a sample, unless the last one was kept too recently."""
        if self.samples and now - self.samples[-1][0] < SAMPLE_SPACING_S:
            return
        self.samples.append((now, min(MAX_RATIO, max(MIN_RATIO, ratio))))

    def ratios(self, now: float) -> list[float]:
        """Return the ratios that are recent enough."""
        while self.samples and now - self.samples[0][0] > SAMPLE_TTL_S:
            self.samples.popleft()
        return [ratio for _, ratio in self.samples]

    @property
    def last_at(self) -> float:
        """Return the time of the last sample."""
        return self.samples[-1][0] if self.samples else -inf


@dataclass
class SpeedSamples:
    """The last samples of one incarnation of an engine. placed_s: predicted prefills of all its prompts."""

    prefill: RatioWindow = field(default_factory=RatioWindow)
    step: RatioWindow = field(default_factory=RatioWindow)
    placed_s: float = 0.0


def is_useful(first_token_s: float, events: int) -> bool:
    """Tell whether an attempt may yield a sample, so that others need not be reported."""
    return events >= MIN_EVENTS or first_token_s >= MIN_PREFILL_S * MIN_FACTOR


def prefill_ratio(first_token_s: float, predicted: PrefillPrediction) -> float | None:
    """Return the sample of a prompt by the time to its first token, None if it tells nothing."""
    if not isfinite(first_token_s) or first_token_s <= 0 or predicted.fetched:
        return None
    if predicted.prefill_s < MIN_PREFILL_S or predicted.delay_s > predicted.prefill_s * MAX_DELAY_SHARE:
        return None
    return (first_token_s - predicted.delay_s) / predicted.prefill_s


def step_ratio(stream_s: float, events: int, interleaved_s: float) -> float | None:
    """Return the sample of a stream that took `stream_s` from its first event to its last, likewise.

    interleaved_s: predicted prefills of prompts placed on the engine meanwhile, which make its steps longer.
    """
    if not isfinite(stream_s) or stream_s <= 0 or events < MIN_EVENTS:
        return None
    return stream_s / ((events - 1) * ASSUMED_STEP_S + interleaved_s)


def learn_speeds(samples_by_engine: Mapping[str, SpeedSamples], now: float) -> dict[str, EngineSpeed]:
    """Return the speeds of engines of one service, each compared with the median of all."""
    prefill = _factors({key: item.prefill for key, item in samples_by_engine.items()}, MIN_SAMPLES, now)
    step = _factors({key: item.step for key, item in samples_by_engine.items()}, MIN_STEP_SAMPLES, now)
    return {
        key: EngineSpeed(
            prefill.get(key, 1.0),
            step.get(key, 1.0),
            max(len(item.prefill.samples), len(item.step.samples)),
            max(item.prefill.last_at, item.step.last_at),
        )
        for key, item in samples_by_engine.items()
    }


def _factors(window_by_engine: Mapping[str, RatioWindow], min_samples: int, now: float) -> dict[str, float]:
    """Return by engine the factor to use, without those for which the prior applies."""
    ratios_by_engine = {key: window.ratios(now) for key, window in window_by_engine.items()}
    known = {key: ratios for key, ratios in ratios_by_engine.items() if len(ratios) >= min_samples}
    if len(known) < MIN_PEERS:
        return {}
    usual = median(median(ratios) for ratios in known.values())
    factors = {}
    for key, ratios in known.items():
        factor = _factor(ratios, usual, now - window_by_engine[key].last_at)
        if abs(factor - 1.0) > MIN_DIFFERENCE:
            factors[key] = factor
    return factors


def _factor(ratios: list[float], usual: float, age_s: float) -> float:
    """Return the factor of an engine, 1.0 unless nearly all of its samples are on one side of the usual.

    That keeps the noise of engines of one speed from being taken for a difference.
    """
    same_side = max(sum(ratio > usual for ratio in ratios), sum(ratio < usual for ratio in ratios))
    if same_side < len(ratios) * MIN_SAME_SIDE_SHARE:
        return 1.0
    bounded = min(MAX_FACTOR, max(MIN_FACTOR, median(ratios) / usual))
    return 1.0 + (bounded - 1.0) * float(0.5 ** (max(0.0, age_s) / HALF_LIFE_S))
