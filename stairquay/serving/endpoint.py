"""The load, health and limits of one endpoint as this box sees them."""

from collections import deque
from contextlib import suppress
from dataclasses import dataclass, field

from stairquay.core.engine_speed import PRIOR, EngineSpeed, SpeedSamples
from stairquay.core.fleet import Endpoint
from stairquay.core.limits import LimitReport
from stairquay.core.memory import PlacedMemory
from stairquay.core.pace import Pacer
from stairquay.core.rest import Backoff
from stairquay.core.silence import Silence
from stairquay.serving.ports import EngineReport, Topic

NEVER = float("-inf")
"""A time before any other."""

FAILURE_WEIGHT = 0.2
"""Weight of the newest outcome in the moving average of an endpoint's failure rate."""

FAILURE_HALF_LIFE_S = 2.0
"""Seconds in which a failure rate halves without new outcomes, so that the endpoint is tried again."""

BUSY_BACKOFF_S = 0.25
"""Seconds for which an endpoint that rejected a request is chosen last. An engine that loads weights rejects
requests for about two seconds, and its report shows that after 0.2 to 0.5 s."""

REPORT_INTERVAL_S = 0.45
"""Seconds between two polls of an engine's state."""

MAX_MISSED_REPORTS = 2.5
"""Report intervals without a report after which an engine is chosen last."""

SENT_PROMPT_TTL_S = 1.1
"""Seconds for which a sent prompt counts towards an engine's memory if no report arrives."""

REPORT_LAG_S = 0.2
"""Seconds by which an engine's report may lag behind its state."""

MAX_REPORT_LAG_S = 1.0
"""Seconds by which the weights that a report names may lag behind at most: reports are 0.2 to 0.5 s old."""

LIMIT_TTL_S = 600.0
"""Seconds for which a rate limit is remembered for an endpoint that is no longer listed."""

TRIAL_PAUSE_FACTOR = 10.0
"""Multiple of an endpoint's mean response time for which it gets nothing before a request tries it anew.
Where others are idle, a slow one is busy with trials for a tenth of the time at most."""

TRIAL_WEIGHT = 0.5
"""Weight of the answer to a trial in the moving average of response times: what is known is old by then."""

LATE_TRIAL_SHARE = 0.5
"""Share of the mean response time above which a trial has shown the endpoint as slow as before."""

MAX_LATE_TRIALS = 4
"""Trials that showed no change for which the pause doubles."""


@dataclass(frozen=True)
class AnsweredVersion:
    """A version of weights that an answer named, and when (monotonic seconds)."""

    version: int
    at: float


@dataclass
class EndpointState:
    """State of one incarnation of an endpoint; times are monotonic seconds. born: as for Endpoint."""

    born: int = 0
    # When this box learned of this incarnation, NEVER for the first one it knew.
    known_since: float = NEVER
    cold_until: float = NEVER
    # When it was last unreachable and may have restarted unnoticed, NEVER once a report tells its start.
    unreachable_at: float = NEVER
    # Used under a rate limit if this box is the endpoint's router, or one of the few that hold the limit.
    holder_pacer: Pacer | None = None
    # Used under a rate bound if this box is one of many that split it.
    standalone_pacer: Pacer | None = None
    limit: LimitReport | None = None
    limit_ended_at: float = NEVER
    # When a surplus answer was logged last.
    surplus_logged_at: float = NEVER
    # The rejections a second that it bears before it falls over, as `per_s`.
    tolerance: LimitReport | None = None
    tolerance_ended_at: float = NEVER
    # Rejections in a row while it is brittle, and until when this box leaves it alone for them.
    rejections: int = 0
    rejected_until: float = NEVER
    # Kept after its time until an answer without a backoff ends it.
    backoff: Backoff | None = None
    # The last unreadable feedback, to log each text once.
    unreadable_by_topic: dict[Topic, str] = field(default_factory=dict)

    # Of requests that this box sent.
    silence: Silence = field(default_factory=Silence)
    in_flight: int = 0
    waiting_tokens_by_job: dict[int, int] = field(default_factory=dict)
    sent_prompts: deque[tuple[float, int]] = field(default_factory=deque)
    report: EngineReport | None = None
    # When the report was requested.
    reported_at: float = NEVER
    # The newest version of each model's weights that an answer named, until a later report names one.
    answered_versions_by_model: dict[str, AnsweredVersion] = field(default_factory=dict)
    refused_until: float = NEVER
    failure_rate: float = 0.0
    failure_rate_at: float = NEVER
    response_time_s: float = 0.05
    # When a request was last sent there, and when one that tried it anew and is not answered, NEVER if none.
    sent_at: float = NEVER
    trial_at: float = NEVER
    # Trials in a row that got no answer, or one as late as those before.
    late_trials: int = 0
    # When the engine will have prefilled all that this box, as its router, placed there.
    prefill_until: float = NEVER
    # Of the runs that this box placed as its router.
    memory: PlacedMemory = field(default_factory=PlacedMemory)
    # Memory in use beyond that peak, as last reported: by runs that others placed.
    unplaced_tokens: int = 0
    # Learned by this box as router.
    speed: EngineSpeed = PRIOR
    speed_samples: SpeedSamples = field(default_factory=SpeedSamples)

    def keep_feedback(self, earlier: "EndpointState", started_at: float) -> None:
        """Keep the limit and the backoff that this incarnation stated before its start was known.

        started_at: when it started. An answer to a request sent later was its own.
        """
        if earlier.limit is not None and earlier.limit.sent_at >= started_at:
            self.limit = earlier.limit
            self.limit_ended_at = earlier.limit_ended_at
        if earlier.backoff is not None and earlier.backoff.sent_at >= started_at:
            self.backoff = earlier.backoff

    def on_report(self, report: EngineReport, now: float, asked_at: float | None = None) -> None:
        """Record what the endpoint reported about itself, unless a report requested later is known.

        asked_at: when it was requested, `now` if not given. What was sent since may not be in the report.
        """
        reported_at = now if asked_at is None else asked_at
        if reported_at < self.reported_at:
            return
        self.report = report
        self.reported_at = reported_at
        self._forget_answered_versions(report)
        self.unplaced_tokens = max(0, report.used_tokens - self.memory.peak_tokens)
        if report.born:
            self.unreachable_at = NEVER
        if report.cold_s is not None:
            self.cold_until = now + report.cold_s

    def version_of(self, endpoint: Endpoint, model: str) -> int:
        """Return the version of a model's weights that the endpoint runs: the newest that its entry, its last
        report or an answer since names.

        It falls where an order of an earlier incarnation is carried out late.
        """
        report = self.report
        reported = 0 if report is None else report.versions_by_model.get(model, 0)
        known = self.answered_versions_by_model.get(model)
        answered = 0 if known is None else known.version
        return max(endpoint.versions_by_model.get(model, 0), reported, answered)

    def on_answered_version(self, model: str, version: int, at: float) -> None:
        """Record the version of a model's weights that an answer named at a time."""
        if self.report is not None and model in self.report.versions_by_model and self._is_older(at):
            return
        known = self.answered_versions_by_model.get(model)
        if known is None or version >= known.version:
            self.answered_versions_by_model[model] = AnsweredVersion(version, at)

    def _forget_answered_versions(self, report: EngineReport) -> None:
        """Forget what answers named before what a report tells of."""
        for model in report.versions_by_model:
            known = self.answered_versions_by_model.get(model)
            if known is not None and self._is_older(known.at):
                del self.answered_versions_by_model[model]

    def _is_older(self, at: float) -> bool:
        """Tell whether what was learned at a time is older than what the last report tells of."""
        return at < self.reported_at - MAX_REPORT_LAG_S

    def on_placed(self, prefill_s: float, now: float) -> None:
        """As the engine's router, add the prefill time of a placed prompt to its queue."""
        self.prefill_until = max(self.prefill_until, now) + prefill_s

    def revert_placed(self, prefill_s: float, tokens: int, sent_at: float) -> None:
        """Undo on_placed and on_sent for a prompt that the engine never prefilled."""
        self.prefill_until -= prefill_s
        with suppress(ValueError):
            # It may have been removed already, by a report or by its age.
            self.sent_prompts.remove((sent_at, tokens))

    def on_sent(self, tokens: int, now: float) -> None:
        """Count the memory of a sent prompt until a report includes it."""
        self.sent_prompts.append((now, tokens))

    def used_tokens(self, now: float) -> float:
        """Return the memory in use: as last reported, plus prompts sent since."""
        while self.sent_prompts and self.sent_prompts[0][0] < self.reported_at - REPORT_LAG_S:
            self.sent_prompts.popleft()
        while self.sent_prompts and self.sent_prompts[0][0] < now - SENT_PROMPT_TTL_S:
            self.sent_prompts.popleft()
        used = 0 if self.report is None else self.report.used_tokens
        for _, tokens in self.sent_prompts:
            used += tokens
        return float(used)

    def on_request(self, now: float) -> None:
        """Record when a request is sent, which tries the endpoint anew if it got none for long."""
        if self.is_trial_due(now):
            if self.trial_at != NEVER:
                self._end_trial(is_late=True)
            self.trial_at = now
        self.sent_at = now

    def on_response_time(self, sent_at: float, now: float, weight: float) -> None:
        """Update the moving average of response times with an answer, by more if it ends a trial."""
        took_s, before_s = now - sent_at, self.response_time_s
        if sent_at == self.trial_at:
            weight = TRIAL_WEIGHT
            self._end_trial(is_late=took_s > LATE_TRIAL_SHARE * before_s)
        self.response_time_s += weight * (took_s - before_s)

    def _end_trial(self, is_late: bool) -> None:
        self.trial_at = NEVER
        self.late_trials = min(self.late_trials + 1, MAX_LATE_TRIALS) if is_late else 0

    def is_trial_due(self, now: float) -> bool:
        """Tell whether the endpoint got nothing for so long that its response time says little of it."""
        pause_s = TRIAL_PAUSE_FACTOR * self.response_time_s * 2**self.late_trials
        return self.in_flight == 0 and now - self.sent_at > pause_s

    def expected_response_time_s(self, peers_s: float, now: float) -> float:
        """Return the response time to choose by: that of its peers if it is time to try it anew."""
        return min(self.response_time_s, peers_s) if self.is_trial_due(now) else self.response_time_s

    def on_outcome(self, failed: bool, now: float) -> None:
        """Update the failure rate with the outcome of an attempt."""
        self.failure_rate = self.current_failure_rate(now) * (1 - FAILURE_WEIGHT) + FAILURE_WEIGHT * failed
        self.failure_rate_at = now

    def current_failure_rate(self, now: float) -> float:
        """Return the failure rate, decayed to the present."""
        if self.failure_rate == 0.0:
            return 0.0
        return float(self.failure_rate * 0.5 ** ((now - self.failure_rate_at) / FAILURE_HALF_LIFE_S))

    def has_active_limits(self, now: float) -> bool:
        """Tell whether a rate limit was reported recently, or a backoff still applies to this box."""
        limited = self.limit is not None and now - self.limit.received_at < LIMIT_TTL_S
        return limited or (self.backoff is not None and self.backoff.wait_s(now) > 0)

    def silent(self, now: float) -> bool:
        """Tell whether reports that used to arrive have stopped."""
        return self.report is not None and now - self.reported_at > MAX_MISSED_REPORTS * REPORT_INTERVAL_S
