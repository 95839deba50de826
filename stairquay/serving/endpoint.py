"""What a box believes of one endpoint: its load, its health, and whether it is cold."""

from collections import deque
from contextlib import suppress
from dataclasses import dataclass, field

from stairquay.core.limits import LimitReport
from stairquay.core.pace import Pacer
from stairquay.core.rest import Backoff
from stairquay.serving.ports import EngineReport, Topic

NEVER = float("-inf")
"""A time before all others."""

FAILURE_WEIGHT = 0.2
"""Weight of the newest outcome in an endpoint's share of failures: about the last five count."""

FAILURE_HALF_LIFE_S = 2.0
"""Seconds in which a share of failures halves without new outcomes, so that the endpoint is tried again."""

FULL_PAUSE_S = 0.25
"""Seconds for which an endpoint that turned a request away is chosen last; an engine that loads weights
does so for about two seconds, and its report tells after 0.2 to 0.5 s."""

REPORT_S = 0.45
"""Seconds between two questions for an engine's state, which is itself 0.2 s old."""

SILENT_AFTER = 2.5
"""Reports missed in a row after which an engine is chosen last."""

SENT_COUNTS_S = 1.1
"""Seconds for which a prompt that was sent counts towards an engine's memory where no report comes."""

REPORT_LAG_S = 0.2
"""Seconds by which an engine's report lags behind its state, as endpoints promise."""

SAID_KEPT_S = 600.0
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
    doubted_at: float = NEVER
    router_pace: Pacer | None = None
    alone_pace: Pacer | None = None
    limit: LimitReport | None = None
    limit_ended_at: float = NEVER
    rest: Backoff | None = None
    unreadable_by_topic: dict[Topic, str] = field(default_factory=dict)

    in_flight: int = 0
    unread_tokens_by_request: dict[str, int] = field(default_factory=dict)
    sent_prompts: deque[tuple[float, int]] = field(default_factory=deque)
    report: EngineReport | None = None
    reported_at: float = NEVER
    version: int = 0
    refused_until: float = NEVER
    failing: float = 0.0
    failing_at: float = NEVER
    work_s: float = 0.05
    read_until: float = NEVER

    def on_report(self, report: EngineReport, now: float) -> None:
        """Take in what the engine said about itself."""
        self.report = report
        self.reported_at = now
        if report.born:
            self.doubted_at = NEVER
        if report.cold_s is not None:
            self.cold_until = now + report.cold_s

    def on_placed(self, reading_s: float, now: float) -> None:
        """As its router, count the time that an engine takes to read a prompt after those before it."""
        self.read_until = max(self.read_until, now) + reading_s

    def take_back(self, reading_s: float, tokens: int, sent_at: float) -> None:
        """Stop counting a prompt that the engine never read."""
        self.read_until -= reading_s
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
        while self.sent_prompts and self.sent_prompts[0][0] < now - SENT_COUNTS_S:
            self.sent_prompts.popleft()
        reported = 0 if self.report is None else self.report.used_tokens
        return float(reported + sum(tokens for _, tokens in self.sent_prompts))

    def on_outcome(self, failed: bool, now: float) -> None:
        """Count an attempt that ended well or badly."""
        self.failing = self.failing_share(now) * (1 - FAILURE_WEIGHT) + FAILURE_WEIGHT * failed
        self.failing_at = now

    def failing_share(self, now: float) -> float:
        """Return the share of recent attempts that failed, fading with time."""
        if self.failing == 0.0:
            return 0.0
        return float(self.failing * 0.5 ** ((now - self.failing_at) / FAILURE_HALF_LIFE_S))

    def bound(self, now: float) -> bool:
        """Tell whether what the endpoint lately said still binds this box."""
        limited = self.limit is not None and now - self.limit.received_at < SAID_KEPT_S
        return limited or (self.rest is not None and self.rest.wait_s(now) > 0)

    def silent(self, now: float) -> bool:
        """Tell whether reports that used to come have stopped."""
        return self.report is not None and now - self.reported_at > SILENT_AFTER * REPORT_S
