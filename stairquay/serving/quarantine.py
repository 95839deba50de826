"""What a box knows of requests that crash endpoints, and which of them it sends no more.

A request that crashes each endpoint that begins it comes again at any box. So boxes tell each other of
crashes (`stairquay.serving.crash_rows`), and judge by those of all.
"""

from collections import Counter, OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from stairquay.adapters.clock import monotonic
from stairquay.core.crashes import KEPT_S, Crash, Quarantined, quarantined, unexplained
from stairquay.serving.change_notifier import ChangeNotifier
from stairquay.serving.decisions import Decision, DecisionLog
from stairquay.serving.endpoint import NEVER

MAX_OWN_CRASHES = 64
"""Crashes of its own that a box keeps and tells: a row of 6 kB."""

MAX_PEER_CRASHES = 4_000
"""Crashes of other boxes' rows that a box keeps: about 1 MB. A box that follows the rows for others has
them."""

MAX_FORWARDED = 48
"""Crashes that a router passes on in one answer, 3 kB."""

MAX_FORWARDED_PER_REQUEST = 8
"""Crashes of one request that it passes on."""

SERVED_TRUST_S = 60.0
"""Seconds for which a request that was answered whole is above suspicion: its like ran beside another one, or
its endpoints were lost for another reason. One that begins to crash endpoints goes on that much longer."""

MAX_SERVED = 2_000
"""Such requests that a box remembers, 0.4 MB; a busy box serves about 30 a second."""


@dataclass(frozen=True)
class CrashReport:
    """What a box's row tells: crashes, and when requests were found to be above suspicion."""

    crashes: tuple[Crash, ...] = ()
    cleared: Mapping[str, float] = field(default_factory=dict)

    def timestamps(self) -> list[float]:
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
        self.own_crashes: dict[tuple[str, str], Crash] = {}
        self.cleared: dict[str, float] = {}
        self.reports_by_key: dict[str, CrashReport] = {}
        self.rows_revision = -1
        self.rows_changed_revision = -1
        self.rows_asked_at = NEVER
        self.router_report = CrashReport()
        self.router_reporting = False
        self.router_revision = -1
        self.served_at: OrderedDict[str, float] = OrderedDict()
        self.unpublished = False
        self.changed = ChangeNotifier()
        self.quarantined_by_digest: dict[str, Quarantined] = {}
        self.crashes_by_digest: Counter[str] = Counter()

    def remaining_s(self, digest: str) -> float:
        """Return for how many more seconds a request is not sent, 0 where it may be."""
        entry = self.quarantined_by_digest.get(digest)
        return 0.0 if entry is None else max(0.0, entry.until - monotonic())

    def record_crashes(self, crashes: Iterable[Crash]) -> None:
        """Take in that an endpoint crashed while these requests were there."""
        now = monotonic()
        for crash in crashes:
            if now - self.served_at.get(crash.digest, NEVER) > SERVED_TRUST_S:
                self.own_crashes[crash.digest, crash.life] = crash
        self._prune_own_crashes(now)
        self._mark_unpublished()
        self._update_quarantine()

    def record_served(self, digest: str) -> None:
        """Take in that a request was answered whole: it does not crash each endpoint that begins it."""
        self.served_at[digest] = monotonic()
        self.served_at.move_to_end(digest)
        if len(self.served_at) > MAX_SERVED:
            self.served_at.popitem(last=False)
        if self.crashes_by_digest.get(digest, 0) > 1:
            self._clear_suspicion([digest])
        else:
            # One crash alone is not worth a row.
            self.own_crashes = {key: crash for key, crash in self.own_crashes.items() if key[0] != digest}

    def apply_rows(self, reports_by_key: Mapping[str, CrashReport | None], whole: bool) -> None:
        """Take in boxes' rows, None for one that is gone. whole: there are no others."""
        if whole:
            self.reports_by_key.clear()
            if not self.router_reporting:
                self.router_report = CrashReport()
        for key, report in reports_by_key.items():
            if report is None:
                self.reports_by_key.pop(key, None)
            else:
                self.reports_by_key[key] = report
        self._on_reports_changed()

    def restore_own_row(self, report: CrashReport) -> None:
        """Take in what a process of this box before this one wrote into its row."""
        self.own_crashes = {(crash.digest, crash.life): crash for crash in report.crashes} | self.own_crashes
        self.cleared = dict(report.cleared) | self.cleared
        self._prune_own_crashes(monotonic())
        self._mark_unpublished()
        self._on_reports_changed()

    def clear_rows(self) -> None:
        """Forget all rows: this box follows them no longer."""
        self.reports_by_key.clear()
        self.rows_revision = -1

    def apply_router_report(self, report: CrashReport, revision: int) -> None:
        """Take in what a router told."""
        self.router_reporting = True
        self.router_report = report
        self.router_revision = revision
        self._on_reports_changed()

    def end_router_reports(self) -> None:
        """Take in that no router tells any more. What the last one told counts until the rows are read."""
        self.router_reporting = False
        self.router_revision = -1

    def report_to_forward(self) -> CrashReport:
        """Return what other boxes need to know: the crashes of quarantined requests, those of requests under
        which more than one endpoint crashed, and which requests are above suspicion."""
        by_digest: dict[str, list[Crash]] = {}
        for crash in unexplained(self._counted_crashes(), self.quarantined_by_digest):
            by_digest.setdefault(crash.digest, []).append(crash)
        suspected = [group for group in by_digest.values() if len({crash.life for crash in group}) > 1]
        groups = [list(item.crashes) for item in self.quarantined_by_digest.values()] + suspected
        newest = (sorted(group, key=_newest_first)[:MAX_FORWARDED_PER_REQUEST] for group in groups)
        crashes = tuple(crash for group in newest for crash in group)[:MAX_FORWARDED]
        cleared = sorted(self._latest_clearances().items(), key=lambda item: -item[1])
        return CrashReport(crashes, dict(cleared[:MAX_FORWARDED]))

    def _mark_unpublished(self) -> None:
        self.unpublished = True
        self.changed.notify_all()

    def _clear_suspicion(self, digests: Iterable[str]) -> None:
        now = monotonic()
        for digest in digests:
            self.cleared[digest] = now
            self.log.line(Decision.QUARANTINE, outcome="cleared", digest=digest)
        self._prune_own_crashes(now)
        self._mark_unpublished()
        self._update_quarantine()

    def _on_reports_changed(self) -> None:
        """Judge anew, and clear those that this box has served."""
        self._update_quarantine()
        now = monotonic()
        served = [
            digest
            for digest, crashes in self.crashes_by_digest.items()
            if crashes > 1 and now - self.served_at.get(digest, NEVER) < SERVED_TRUST_S
        ]
        if served:
            self._clear_suspicion(served)

    def _received_reports(self) -> list[CrashReport]:
        return [*self.reports_by_key.values(), self.router_report]

    def _latest_clearances(self) -> dict[str, float]:
        """Return when requests were last found to be above suspicion, by any box."""
        cleared = dict(self.cleared)
        for report in self._received_reports():
            for digest, at in report.cleared.items():
                cleared[digest] = max(at, cleared.get(digest, NEVER))
        return cleared

    def _counted_crashes(self) -> list[Crash]:
        """Return all crashes that count, each as often as it is told."""
        received = [crash for source in self._received_reports() for crash in source.crashes]
        if len(received) > MAX_PEER_CRASHES:
            received = sorted(received, key=_newest_first)[:MAX_PEER_CRASHES]
        cleared = self._latest_clearances()
        return [
            crash
            for crash in (*self.own_crashes.values(), *received)
            if crash.at > cleared.get(crash.digest, NEVER)
        ]

    def _update_quarantine(self) -> None:
        crashes = self._counted_crashes()
        self.crashes_by_digest = Counter(
            digest for digest, _ in {(item.digest, item.life) for item in crashes}
        )
        before, self.quarantined_by_digest = self.quarantined_by_digest, quarantined(crashes, monotonic())
        for digest in self.quarantined_by_digest.keys() - before.keys():
            incarnations = [crash.life for crash in self.quarantined_by_digest[digest].crashes]
            self.log.line(Decision.QUARANTINE, outcome="begun", digest=digest, crashed=incarnations)
        for digest in before.keys() - self.quarantined_by_digest.keys():
            self.log.line(Decision.QUARANTINE, outcome="ended", digest=digest)

    def _prune_own_crashes(self, now: float) -> None:
        """Forget own crashes that count no more, and the oldest beyond the most that are kept."""
        cleared = sorted(self.cleared.items(), key=lambda item: -item[1])[:MAX_OWN_CRASHES]
        self.cleared = {digest: at for digest, at in cleared if now - at < KEPT_S}
        counted = [
            crash
            for crash in self.own_crashes.values()
            if now - crash.at < KEPT_S and crash.at > self.cleared.get(crash.digest, NEVER)
        ]
        kept = sorted(counted, key=_newest_first)[:MAX_OWN_CRASHES]
        self.own_crashes = {(crash.digest, crash.life): crash for crash in kept}


def _newest_first(crash: Crash) -> float:
    """Return a key that sorts the newest first."""
    return -crash.at
