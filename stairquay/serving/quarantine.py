"""What a box knows of requests that crash endpoints, and which of them it sends no more.

A request that crashes each endpoint that begins it comes again at any box. So boxes tell each other of
crashes (`stairquay.serving.crash_rows`), and judge by those of all.
"""

from collections import Counter, OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from stairquay.adapters.clock import monotonic
from stairquay.core.crashes import (
    CRASH_TTL_S,
    Crash,
    QuarantinedRequest,
    find_quarantined,
    unexplained_crashes,
)
from stairquay.serving.decisions import Decision, DecisionLog
from stairquay.serving.endpoint import NEVER
from stairquay.serving.waking import Changes

MOST_OWN = 64
"""Crashes of its own that a box keeps and tells: a row of 6 kB."""

MOST_ROWS = 4_000
"""Crashes of other boxes' rows that a box keeps: about 1 MB. A box that follows the rows for others has
them."""

MOST_PASSED = 48
"""Crashes that a router passes on in one answer, 3 kB."""

MOST_PASSED_EACH = 8
"""Crashes of one request that it passes on."""

SERVED_S = 60.0
"""Seconds for which a request that was answered whole is above suspicion: its like ran beside another one, or
its endpoints were lost for another reason. One that begins to crash endpoints goes on that much longer."""

MOST_SERVED = 2_000
"""Such requests that a box remembers, 0.4 MB; a busy box serves about 30 a second."""


@dataclass(frozen=True)
class Told:
    """What a box's row tells: crashes, and when requests were found to be above suspicion."""

    crashes: tuple[Crash, ...] = ()
    cleared: Mapping[str, float] = field(default_factory=dict)

    def times(self) -> list[float]:
        """Return when all that it tells happened."""
        return [*(crash.at for crash in self.crashes), *self.cleared.values()]


class Quarantine:
    """Crashes that a box knows of.

    own: those that it noticed. cleared: when it found that a request is above suspicion. told_by_key: what
    boxes' rows tell, for a box that follows them; rows_revision: up to which revision, -1 for none;
    rows_changed: the revision at which they last changed; rows_asked_at: when they were last asked for.
    passed_on: what a router told last, until the rows were read after it; router_tells: one does now;
    passed_revision: its `rows_changed`. served_at: when this box last served a request whole. untold: there
    is something that its row does not tell yet.
    """

    def __init__(self, log: DecisionLog) -> None:
        self.log = log
        self.own: dict[tuple[str, str], Crash] = {}
        self.cleared: dict[str, float] = {}
        self.told_by_key: dict[str, Told] = {}
        self.rows_revision = -1
        self.rows_changed = -1
        self.rows_asked_at = NEVER
        self.passed_on = Told()
        self.router_tells = False
        self.passed_revision = -1
        self.served_at: OrderedDict[str, float] = OrderedDict()
        self.untold = False
        self.changed = Changes()
        self.verdict: dict[str, QuarantinedRequest] = {}
        self.crashes_by_digest: Counter[str] = Counter()

    def left_s(self, digest: str) -> float:
        """Return for how many more seconds a request is not sent, 0 where it may be."""
        held = self.verdict.get(digest)
        return 0.0 if held is None else max(0.0, held.until - monotonic())

    def noticed(self, crashes: Iterable[Crash]) -> None:
        """Take in that an endpoint crashed while these requests were there."""
        now = monotonic()
        for crash in crashes:
            if now - self.served_at.get(crash.digest, NEVER) > SERVED_S:
                self.own[crash.digest, crash.incarnation] = crash
        self._bound_own(now)
        self._tell()
        self._judge()

    def served(self, digest: str) -> None:
        """Take in that a request was answered whole: it does not crash each endpoint that begins it."""
        self.served_at[digest] = monotonic()
        self.served_at.move_to_end(digest)
        if len(self.served_at) > MOST_SERVED:
            self.served_at.popitem(last=False)
        if self.crashes_by_digest.get(digest, 0) > 1:
            self._clear([digest])
        else:
            # One crash alone is not worth a row.
            self.own = {key: crash for key, crash in self.own.items() if key[0] != digest}

    def take_rows(self, told_by_key: Mapping[str, Told | None], whole: bool) -> None:
        """Take in boxes' rows, None for one that is gone. whole: there are no others."""
        if whole:
            self.told_by_key.clear()
            if not self.router_tells:
                self.passed_on = Told()
        for key, told in told_by_key.items():
            if told is None:
                self.told_by_key.pop(key, None)
            else:
                self.told_by_key[key] = told
        self._learned()

    def take_own_row(self, told: Told) -> None:
        """Take in what a process of this box before this one wrote into its row."""
        self.own = {(crash.digest, crash.incarnation): crash for crash in told.crashes} | self.own
        self.cleared = dict(told.cleared) | self.cleared
        self._bound_own(monotonic())
        self._tell()
        self._learned()

    def forget_rows(self) -> None:
        """Forget all rows: this box follows them no longer."""
        self.told_by_key.clear()
        self.rows_revision = -1

    def take_passed_on(self, told: Told, revision: int) -> None:
        """Take in what a router told."""
        self.router_tells = True
        self.passed_on = told
        self.passed_revision = revision
        self._learned()

    def router_ceased(self) -> None:
        """Take in that no router tells any more. What the last one told counts until the rows are read."""
        self.router_tells = False
        self.passed_revision = -1

    def to_pass_on(self) -> Told:
        """Return what other boxes need to know: the crashes of quarantined requests, those of requests under
        which more than one endpoint crashed, and which requests are above suspicion."""
        by_digest: dict[str, list[Crash]] = {}
        for crash in unexplained_crashes(self._pool(), self.verdict):
            by_digest.setdefault(crash.digest, []).append(crash)
        suspected = [held for held in by_digest.values() if len({crash.incarnation for crash in held}) > 1]
        groups = [list(item.crashes) for item in self.verdict.values()] + suspected
        newest = (sorted(held, key=_by_age)[:MOST_PASSED_EACH] for held in groups)
        crashes = tuple(crash for held in newest for crash in held)[:MOST_PASSED]
        cleared = sorted(self._cleared().items(), key=lambda item: -item[1])
        return Told(crashes, dict(cleared[:MOST_PASSED]))

    def _tell(self) -> None:
        self.untold = True
        self.changed.happened()

    def _clear(self, digests: Iterable[str]) -> None:
        now = monotonic()
        for digest in digests:
            self.cleared[digest] = now
            self.log.line(Decision.QUARANTINE, outcome="cleared", digest=digest)
        self._bound_own(now)
        self._tell()
        self._judge()

    def _learned(self) -> None:
        """Judge anew, and clear those that this box has served."""
        self._judge()
        now = monotonic()
        well = [
            digest
            for digest, crashes in self.crashes_by_digest.items()
            if crashes > 1 and now - self.served_at.get(digest, NEVER) < SERVED_S
        ]
        if well:
            self._clear(well)

    def _sources(self) -> list[Told]:
        return [*self.told_by_key.values(), self.passed_on]

    def _cleared(self) -> dict[str, float]:
        """Return when requests were last found to be above suspicion, by any box."""
        cleared = dict(self.cleared)
        for told in self._sources():
            for digest, at in told.cleared.items():
                cleared[digest] = max(at, cleared.get(digest, NEVER))
        return cleared

    def _pool(self) -> list[Crash]:
        """Return all crashes that count, each as often as it is told."""
        told = [crash for source in self._sources() for crash in source.crashes]
        if len(told) > MOST_ROWS:
            told = sorted(told, key=_by_age)[:MOST_ROWS]
        cleared = self._cleared()
        return [crash for crash in (*self.own.values(), *told) if crash.at > cleared.get(crash.digest, NEVER)]

    def _judge(self) -> None:
        pool = self._pool()
        self.crashes_by_digest = Counter(
            digest for digest, _ in {(item.digest, item.incarnation) for item in pool}
        )
        before, self.verdict = self.verdict, find_quarantined(pool, monotonic())
        for digest in self.verdict.keys() - before.keys():
            lives = [crash.incarnation for crash in self.verdict[digest].crashes]
            self.log.line(Decision.QUARANTINE, outcome="begun", digest=digest, crashed=lives)
        for digest in before.keys() - self.verdict.keys():
            self.log.line(Decision.QUARANTINE, outcome="ended", digest=digest)

    def _bound_own(self, now: float) -> None:
        """Forget own crashes that count no more, and the oldest beyond the most that are kept."""
        cleared = sorted(self.cleared.items(), key=lambda item: -item[1])[:MOST_OWN]
        self.cleared = {digest: at for digest, at in cleared if now - at < CRASH_TTL_S}
        count = [
            crash
            for crash in self.own.values()
            if now - crash.at < CRASH_TTL_S and crash.at > self.cleared.get(crash.digest, NEVER)
        ]
        kept = sorted(count, key=_by_age)[:MOST_OWN]
        self.own = {(crash.digest, crash.incarnation): crash for crash in kept}


def _by_age(crash: Crash) -> float:
    """Return a key that sorts the newest first."""
    return -crash.at
