"""Applies the learned speeds of the engines that this box routes for, and tells about those in use.

Only the engine's router learns: it knows what it had predicted, and it alone places prompts there.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from stairquay.core.engine_speed import (
    PRIOR,
    PrefillPrediction,
    SpeedSamples,
    learn_speeds,
    prefill_ratio,
    step_ratio,
)
from stairquay.core.fleet import Endpoint
from stairquay.core.placement import Placement, prefill_s, run_delay_s
from stairquay.serving.cold import cold_for_s
from stairquay.serving.endpoint import NEVER, EndpointState
from stairquay.serving.event_log import LogEvent
from stairquay.serving.messages import SpeedSample
from stairquay.serving.state import BoxState

UPDATE_INTERVAL_S = 1.0
"""Seconds between two updates of the speeds. They are learned within seconds, and an update of 70 engines
takes 1.6 ms of CPU time."""

FactorKey = tuple[str, str]
"""Id of an engine, and `prefill` or `step`."""


@dataclass(frozen=True)
class ExpectedPrompt:
    """A prompt in progress whose duration may tell how fast its engine is.

    placed_s: that of the engine's samples after this prompt was placed.
    """

    endpoint_state: EndpointState
    predicted: PrefillPrediction
    placed_s: float


class EngineSpeeds:
    """The prompts whose durations are expected, by ticket, and the factors in use, by engine and kind."""

    def __init__(self, state: BoxState) -> None:
        self.state = state
        self.expected_by_ticket: dict[str, ExpectedPrompt] = {}
        self.factor_by_key: dict[FactorKey, float] = {}
        self.updated_at = NEVER

    def expect(self, ticket: str, endpoint: Endpoint, placement: Placement, tokens: int, now: float) -> float:
        """Expect a sample of a prompt that is placed now; return its predicted prefill on this engine."""
        endpoint_state = self.state.endpoint_state(endpoint)
        samples = endpoint_state.speed_samples
        prior_s = prefill_s(placement.read, tokens)
        samples.placed_s += prior_s
        # A cold engine is slow for another reason, which passes.
        if cold_for_s(self.state, endpoint, now) <= 0:
            predicted = PrefillPrediction(prior_s, run_delay_s(placement.engine), placement.fetched)
            self.expected_by_ticket[ticket] = ExpectedPrompt(endpoint_state, predicted, samples.placed_s)
        return prior_s * endpoint_state.speed.prefill_factor

    def observe(self, sample: SpeedSample, now: float) -> None:
        """Keep the durations of a prompt if they tell how fast its engine is."""
        expected = self.expected_by_ticket.pop(sample.ticket, None)
        if expected is None:
            return
        samples = expected.endpoint_state.speed_samples
        prefill = prefill_ratio(sample.first_token_s, expected.predicted)
        if prefill is not None:
            samples.prefill.add(prefill, now)
        interleaved_s = max(0.0, samples.placed_s - expected.placed_s)
        step = step_ratio(sample.stream_s, sample.events, interleaved_s)
        if step is not None:
            samples.step.add(step, now)

    def forget(self, ticket: str) -> None:
        """Expect no sample of a prompt any more."""
        self.expected_by_ticket.pop(ticket, None)

    def update(self, now: float) -> None:
        """Learn the speeds of this router's engines, if the last update is long enough ago."""
        if self.state.routed_engines and now - self.updated_at < UPDATE_INTERVAL_S:
            return
        self.updated_at = now
        factors: dict[FactorKey, float] = {}
        for states_by_id in self._states_by_service().values():
            samples = {key: item.speed_samples for key, item in states_by_id.items()}
            factors |= _apply(states_by_id, samples, now)
        self._report(factors)

    def _states_by_service(self) -> dict[str, dict[str, EndpointState]]:
        """Return the states of this router's engines; the speeds of other engines are forgotten."""
        grouped: dict[str, dict[str, EndpointState]] = {}
        for endpoint in self.state.fleet.by_id.values():
            endpoint_state = self.state.endpoint_state(endpoint)
            if endpoint.id not in self.state.routed_engines:
                if endpoint_state.speed is not PRIOR:
                    endpoint_state.speed, endpoint_state.speed_samples = PRIOR, SpeedSamples()
            else:
                grouped.setdefault(endpoint.service, {})[endpoint.id] = endpoint_state
        return grouped

    def _report(self, factors: dict[FactorKey, float]) -> None:
        """Set the metric, and log the factors that come into use or leave it."""
        before, self.factor_by_key = self.factor_by_key, factors
        metric = self.state.metrics.engine_speed
        for key in before.keys() - factors.keys():
            metric.remove(*key)
            self._log(key, "ended", before[key])
        for key, factor in factors.items():
            metric.labels(*key).set(factor)
            if key not in before:
                self._log(key, "in_use", factor)

    def _log(self, key: FactorKey, outcome: str, factor: float) -> None:
        endpoint, kind = key
        known = self.state.endpoints_by_id.get(endpoint)
        samples = 0 if known is None else known.speed.samples
        self.state.log.line(
            LogEvent.ENGINE_SPEED,
            endpoint=endpoint,
            of=kind,
            outcome=outcome,
            factor=factor,
            samples=samples,
        )


def _apply(
    states_by_id: Mapping[str, EndpointState], samples: Mapping[str, SpeedSamples], now: float
) -> dict[FactorKey, float]:
    """Set the learned speeds, and return the factors that differ from the prior."""
    factors: dict[FactorKey, float] = {}
    for key, speed in learn_speeds(samples, now).items():
        states_by_id[key].speed = speed
        if speed.prefill_factor != 1.0:
            factors[key, "prefill"] = speed.prefill_factor
        if speed.step_factor != 1.0:
            factors[key, "step"] = speed.step_factor
    return factors
