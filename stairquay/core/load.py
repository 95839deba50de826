"""Estimated load of endpoints: the last report, plus the prompts sent since."""

from collections import deque
from dataclasses import dataclass, field


@dataclass(frozen=True)
class LoadReport:
    """An engine's report on itself; `taken_at` is local monotonic time, corrected for delay."""

    taken_at: float = 0.0
    queued_tokens: int = 0
    running: int = 0
    version: str = ""
    loading: str = ""
    incarnation: str = ""
    leaving: bool = False
    cache_tokens: int = 0


@dataclass
class EndpointLoad:
    """The last report of an endpoint, and the prompts sent since, as (time sent, tokens to prefill)."""

    report: LoadReport = field(default_factory=LoadReport)
    unreported: deque[tuple[float, int]] = field(default_factory=deque)
    in_flight: int = 0
    received_at: float = 0.0

    def on_report(self, report: LoadReport, now: float) -> None:
        """Store a report, and drop the prompts that it already counts."""
        self.report = report
        self.received_at = now
        while self.unreported and self.unreported[0][0] <= report.taken_at:
            self.unreported.popleft()

    def on_sent(self, tokens: int, now: float) -> None:
        """Record a prompt that was sent."""
        self.unreported.append((now, tokens))
        self.in_flight += 1

    def on_finished(self) -> None:
        """Record the end of a run."""
        self.in_flight = max(0, self.in_flight - 1)

    def queued_tokens(self, now: float, prefill_tokens_s: float) -> float:
        """Return the estimated tokens queued ahead of a new prompt.

        The reported queue is assumed to drain at `prefill_tokens_s` since the report.
        """
        drained = max(0.0, now - self.report.taken_at) * prefill_tokens_s
        reported = max(0.0, self.report.queued_tokens - drained)
        return reported + self._sent_tokens(now, prefill_tokens_s)

    def running(self) -> int:
        """Return the estimated number of active runs."""
        return max(self.report.running + len(self.unreported), self.in_flight)

    def _sent_tokens(self, now: float, prefill_tokens_s: float) -> float:
        """Return the tokens still queued of the unreported prompts."""
        waiting = 0.0
        last = 0.0
        for sent_at, tokens in self.unreported:
            waiting = max(0.0, waiting - (sent_at - last) * prefill_tokens_s) + tokens
            last = sent_at
        return max(0.0, waiting - (now - last) * prefill_tokens_s)
