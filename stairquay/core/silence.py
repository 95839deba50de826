"""How long an endpoint has answered nothing, although requests were sent to it.

The system of a process that hangs or is stopped goes on accepting connections and requests, which the process
reads once it goes on: also those that were given up meanwhile.
"""

from dataclasses import dataclass, field, replace

SILENT_AFTER_S = 0.5
"""Seconds without any answer after which an endpoint counts as silent. All its requests together are answered
many times in half a second, unless each of them takes longer."""

QUIET_AFTER_S = 0.05
"""Seconds without any answer after which an endpoint may have stopped, so that it gets few repeats."""

UNREAD_TTL_S = 60.0
"""Seconds for which an unanswered repeat counts as one that may still be read. Where its process or link has
ended, which is not always seen, it is lost, and would take of the retry budget for ever."""


@dataclass
class Silence:
    """Requests to an endpoint whose answers have not begun; times are monotonic seconds.

    waiting: those that are not given up. since: of the last answer, or of the first request after it; None if
    all have been answered. repeats: when those of them were sent that an endpoint had got before.
    has_answered: whether it has ever answered this process.
    """

    waiting: int = 0
    since: float | None = None
    repeats: list[float] = field(default_factory=list)
    has_answered: bool = field(default=False, compare=False)

    def on_sent(self, now: float, is_repeat: bool) -> None:
        """Count a request."""
        self.waiting += 1
        if self.since is None:
            self.since = now
        if is_repeat:
            self.repeats = [*self.unread_repeats(now), now]

    def on_answered(self, now: float) -> "Silence | None":
        """Record the first byte of an answer, or the end of its connection. Return the silence that it ended.

        What has arrived until then is being read as well.
        """
        self.waiting -= 1
        self.has_answered = True
        ended = None
        if self.lasts_s(now) > SILENT_AFTER_S:
            ended = replace(self, repeats=self.unread_repeats(now))
        self.since = now if self.waiting else None
        self.repeats.clear()
        return ended

    def on_given_up(self) -> None:
        """Record a request that got no answer, and may still be read."""
        self.waiting -= 1

    def on_not_sent(self, sent_at: float) -> None:
        """Take back a request that was counted at this time, and did not leave."""
        self.waiting -= 1
        if self.since == sent_at and not self.waiting:
            self.since = None
        if sent_at in self.repeats:
            self.repeats.remove(sent_at)

    def unread_repeats(self, now: float) -> list[float]:
        """Return when repeats were sent that may still be read."""
        return [at for at in self.repeats if now - at < UNREAD_TTL_S]

    def is_probed(self, now: float) -> bool:
        """Tell whether a request waits at a silent endpoint, so that no further one is needed to try it."""
        return self.waiting > 0 and self.lasts_s(now) > SILENT_AFTER_S

    def lasts_s(self, now: float) -> float:
        """Return the seconds since the endpoint is known to have been silent, 0 if it is not."""
        return 0.0 if self.since is None else now - self.since
