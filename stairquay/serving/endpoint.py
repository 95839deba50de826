"""What a box believes of one endpoint: its load, its health, and whether it is cold."""

from collections import deque
from contextlib import suppress
from dataclasses import dataclass, field

from stairquay.core.limits import LimitNews
from stairquay.core.pace import Pace
from stairquay.core.rest import Rest
from stairquay.serving.ports import EngineReport, Topic

NEVER = float("-inf")
"""A time before all others."""

FAILURE_WEIGHT = 0.2
"""Weight of the newest outcome in an endpoint's share of failures: about the last five count."""

FAILURE_HALF_LIFE_S = 2.0
"""Seconds in which a share of failures halves without new outcomes, so that the endpoint is tried again."""

BUSY_BACKOFF_S = 0.25
"""Seconds for which an endpoint that turned a request away is chosen last; an engine that loads weights
does so for about two seconds, and its report tells after 0.2 to 0.5 s."""

REPORT_INTERVAL_S = 0.45
"""Seconds between two questions for an engine's state, which is itself 0.2 s old."""

MAX_MISSED_REPORTS = 2.5
"""Reports missed in a row after which an engine is chosen last."""

SENT_PROMPT_TTL_S = 1.1
"""Seconds for which a prompt that was sent counts towards an engine's memory where no report comes."""

REPORT_LAG_S = 0.2
"""Seconds by which an engine's report lags behind its state, as endpoints promise."""

LIMIT_TTL_S = 600.0
"""Seconds for which a limit is remembered after its endpoint's entry went: longer than any is away."""


@dataclass
class EndpointState:
    """Load and health of one endpoint's life as this box sees it; times are monotonic seconds.

    born: as for Endpoint; known_since: when this box learned of this life, NEVER for the first one it knew.
    cold_until: until when it is cold; doubted_at: when it last was not to be reached, since when it may be
    another life that nobody has told of, NEVER where a report came since. router_pace, alone_pace: how this
    box spaces what it sends there while it takes only so much, as its router and where it decides alone.
    limit: what its answers last said of its limit, None before any named one; limit_ended_at: when the last
    one ended; rest: what it last asked this box for, None where it asked for none or that is over;
    unreadable_by_topic: the last text of each kind that could not be read.
    read_until: when the engine has read all that this box, as its router, placed there.
    """

    born: int = 0
    known_since: float = NEVER
    cold_until: float = NEVER
    unreachable_at: float = NEVER
    router_pacer: Pace | None = None
    standalone_pacer: Pace | None = None
    limit: LimitNews | None = None
    limit_ended_at: float = NEVER
    backoff: Rest | None = None
    unreadable_by_topic: dict[Topic, str] = field(default_factory=dict)

    in_flight: int = 0
    waiting_tokens_by_request: dict[str, int] = field(default_factory=dict)
    sent_prompts: deque[tuple[float, int]] = field(default_factory=deque)
    report: EngineReport | None = None
    reported_at: float = NEVER
    version: int = 0
    refused_until: float = NEVER
    failure_rate: float = 0.0
    failure_rate_at: float = NEVER
    response_time_s: float = 0.05
    prefill_until: float = NEVER

    def on_report(self, report: EngineReport, now: float) -> None:
        """Take in what the engine said about itself."""
        self.report = report
        self.reported_at = now
        if report.born:
            self.unreachable_at = NEVER
        if report.cold_s is not None:
            self.cold_until = now + report.cold_s

    def on_placed(self, prefill_s: float, now: float) -> None:
        """As its router, count the time that an engine takes to read a prompt after those before it."""
        self.prefill_until = max(self.prefill_until, now) + prefill_s

    def revert_placed(self, prefill_s: float, tokens: int, sent_at: float) -> None:
        """Stop counting a prompt that the engine never read."""
        self.prefill_until -= prefill_s
        with suppress(ValueError):
            # A report may have come since, which does not count the prompt any more.
            self.sent_prompts.remove((sent_at, tokens))

    def on_sent(self, tokens: int, now: float) -> None:
        """Count a prompt that was sent, until a report shows its memory."""
        self.sent_prompts.append((now, tokens))

    def used_tokens(self, now: float) -> float:
        """Return the memory that runs hold: as last reported, and what this box sent since."""
        while self.sent_prompts and self.sent_prompts[0][0] < self.reported_at - REPORT_LAG_S:
            self.sent_prompts.popleft()
        while self.sent_prompts and self.sent_prompts[0][0] < now - SENT_PROMPT_TTL_S:
            self.sent_prompts.popleft()
        reported = 0 if self.report is None else self.report.used_tokens
        return float(reported + sum(tokens for _, tokens in self.sent_prompts))

    def on_outcome(self, failed: bool, now: float) -> None:
        """Count an attempt that ended well or badly."""
        self.failure_rate = self.current_failure_rate(now) * (1 - FAILURE_WEIGHT) + FAILURE_WEIGHT * failed
        self.failure_rate_at = now

    def current_failure_rate(self, now: float) -> float:
        """Return the share of recent attempts that failed, fading with time."""
        if self.failure_rate == 0.0:
            return 0.0
        return float(self.failure_rate * 0.5 ** ((now - self.failure_rate_at) / FAILURE_HALF_LIFE_S))

    def has_active_limits(self, now: float) -> bool:
        """Tell whether what the endpoint lately said still binds this box."""
        limited = self.limit is not None and now - self.limit.heard_at < LIMIT_TTL_S
        return limited or (self.backoff is not None and self.backoff.wait_s(now) > 0)

    def silent(self, now: float) -> bool:
        """Tell whether reports that used to come have stopped."""
        return self.report is not None and now - self.reported_at > MAX_MISSED_REPORTS * REPORT_INTERVAL_S
