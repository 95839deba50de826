"""Quarantines requests, and parts of prompts, that crash endpoints.

Callers retry such a request at any box, so each box also counts the crashes that other boxes report (see
`stairquay.serving.crash_rows`).
"""

from collections import Counter, OrderedDict, deque
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from stairquay.adapters.clock import monotonic
from stairquay.core.crashes import (
    CRASH_TTL_S,
    POPULAR_SHARE,
    Crash,
    GoodEnds,
    QuarantinedRequest,
    find_quarantined,
    is_part,
    min_crashes,
    shows_innocence,
    unexplained_crashes,
)
from stairquay.core.position import NO_POSITION, Position
from stairquay.serving.change_notifier import ChangeNotifier
from stairquay.serving.endpoint import NEVER
from stairquay.serving.event_log import EventLog, LogEvent
from stairquay.serving.heard_crashes import CrashReport, HeardReports

MAX_OWN_CRASHES = 64
"""Crashes that a box publishes in its row (6 kB)."""

MAX_PEER_CRASHES = 4_000
"""Crashes reported by other boxes that a box evaluates (about 1 MB)."""

MAX_FORWARDED = 48
"""Crashes, and clearances, that a router forwards in one reply (3 kB)."""

MAX_FORWARDED_PER_REQUEST = 8
"""Crashes of one request that a router forwards in one reply."""

SERVED_TRUST_S = 60.0
"""Seconds after a complete answer in which crashes do not count against the request. Such a request ran
beside another that caused them, or its endpoints were lost for another reason. A request that begins to crash
endpoints is sent for that much longer. A part of prompts is only harder to quarantine for that long: weights
or software may change beneath it."""

FIRST_TRIAL_S, NEXT_TRIAL_S, TRIAL_GROWTH = 3.0, 30.0, 4.0
"""Seconds from the begin of a part's quarantine to the first request that is sent all the same, from there to
the next one, and the growth of that time. Where all engines crashed before any prompt had ended, a part that
all prompts share is quarantined, and only its being served can tell."""

POPULAR_TRIAL_S = 1.0
"""The same to the first request for a part of many prompts that ended well lately, since all of these are
refused. Such a part of few prompts is tried after NEXT_TRIAL_S: a trial may cost an engine."""

MAX_ENDS_KEPT = 256
"""Good ends of prompts whose times a box remembers."""

MAX_SERVED = 2_000
"""Completed requests that a box remembers (0.4 MB)."""


@dataclass(frozen=True)
class Trial:
    """When a quarantined part is tried again, and how long after that."""

    at: float
    next_s: float = NEXT_TRIAL_S


class Quarantine:
    """Crashes known to this box, and the requests that it quarantines for them.

    Times are in monotonic seconds.
    """

    def __init__(self, log: EventLog) -> None:
        self.log = log
        # By request digest and endpoint incarnation.
        self.own_crashes: dict[tuple[str, str], Crash] = {}
        # When this box cleared a request of suspicion, by digest.
        self.cleared: dict[str, float] = {}
        # Reports in the rows of all boxes, empty while this box does not follow them.
        self.reports_by_key: dict[str, CrashReport] = {}
        # Position of the view of the rows, and of its last change.
        self.rows_position = NO_POSITION
        self.rows_changed_position = NO_POSITION
        self.rows_asked_at = NEVER
        # Whether the rows were read, or a router reported them, since this box started.
        self.informed = False
        # Latest report from a router, kept until the rows are read.
        self.router_report = CrashReport()
        self.router_reporting = False
        # `rows_changed_position` of the router that reported.
        self.router_position = NO_POSITION
        # Reports that came in messages, as the rows may lag or be away.
        self.heard = HeardReports()
        # Number of changes since the start, of own crashes and clearances, and of all that this box knows.
        self.own_number = 0
        self.report_number = 0
        self.forwardable: CrashReport | None = None
        # When this box last served a request, by digest.
        self.served_at: OrderedDict[str, float] = OrderedDict()
        # Good ends of prompts by part, and of all of them; both are halved from time to time.
        self.ends_by_part: Counter[str] = Counter()
        self.ends = 0
        self.ends_halved_at = NEVER
        # When the answers began that ended well last.
        self.ends_began_at: deque[float] = deque(maxlen=MAX_ENDS_KEPT)
        # When this box last served a prompt that shares a part with others.
        self.part_served_at = NEVER
        # When any box last cleared a part, which shows that prompts end well at some engine.
        self.part_cleared_at = NEVER
        # Whether this box's row is out of date.
        self.unpublished = False
        # Whether a quarantine has begun since the last write, for a crash that this box noticed.
        self.urgent = False
        self.changed = ChangeNotifier()
        self.quarantined_by_digest: dict[str, QuarantinedRequest] = {}
        # The same where no part is blamed, for the time in which no part may be refused.
        self.requests_by_digest: dict[str, QuarantinedRequest] = {}
        self.trials_by_part: dict[str, Trial] = {}
        self.crashes_by_digest: Counter[str] = Counter()
        self.first_crash_at_by_digest: dict[str, float] = {}
        # Parts at many crashes for which they are not quarantined.
        self.spared: set[str] = set()

    def remaining_s(self, digest: str) -> float:
        """Return the seconds left of the quarantine of a request or a part, 0 if it is not refused."""
        now = monotonic()
        # Where no prompt has ended well, crashes show nothing of any part.
        parts_refused = now - max(self.part_served_at, self.part_cleared_at) <= SERVED_TRUST_S
        entry = (self.quarantined_by_digest if parts_refused else self.requests_by_digest).get(digest)
        return 0.0 if entry is None else max(0.0, entry.until - now)

    def take_trial(self, digests: Collection[str]) -> bool:
        """Tell whether a request with these quarantined parts may be sent once, to learn whether they crash
        engines; only one box may ask for each part."""
        now = monotonic()
        trials = {digest: self.trials_by_part.get(digest) for digest in digests}
        if not trials or any(trial is None or now < trial.at for trial in trials.values()):
            return False
        for digest, trial in trials.items():
            assert trial is not None
            self.trials_by_part[digest] = Trial(now + trial.next_s, trial.next_s * TRIAL_GROWTH)
            self.log.line(LogEvent.QUARANTINE, outcome="tried", digest=digest)
        return True

    def record_crashes(self, crashes: Iterable[Crash]) -> None:
        """Record crashes that this box detected, except of requests that it served recently.

        Good ends of a part before a crash say nothing about it.
        """
        now = monotonic()
        for crash in crashes:
            served_at = self.served_at.get(crash.digest, NEVER)
            if (crash.at > served_at) if is_part(crash.digest) else (now - served_at > SERVED_TRUST_S):
                self.own_crashes[crash.digest, crash.incarnation] = crash
        self._prune_own_crashes(now)
        self._mark_unpublished()
        self._update_quarantine()

    def record_served(self, digests: Collection[str], began_at: float | None = None) -> None:
        """Record an answer that shows that a request, or its parts, crash nothing.

        began_at: when the answer began, None for now. A part would have crashed the engine then; later
        crashes may still be its own.
        """
        now = monotonic()
        self._count_ends(digests, now, now if began_at is None else began_at)
        for digest in digests:
            at = now if began_at is None or not is_part(digest) else began_at
            self.served_at[digest] = max(at, self.served_at.get(digest, NEVER))
            self.served_at.move_to_end(digest)
            if is_part(digest):
                self.part_served_at = now
        while len(self.served_at) > MAX_SERVED:
            forgotten, _ = self.served_at.popitem(last=False)
            self.ends_by_part.pop(forgotten, None)
        suspected = [digest for digest in digests if self.is_suspected(digest)]
        if self.own_crashes:
            # What few crashes suggest needs no published clearance.
            self.own_crashes = {
                key: crash
                for key, crash in self.own_crashes.items()
                if key[0] not in digests or key[0] in suspected or self._counts_since_served(crash)
            }
        if suspected:
            self._clear_suspicion(suspected)

    def _count_ends(self, digests: Collection[str], now: float, began_at: float) -> None:
        if now - self.ends_halved_at > SERVED_TRUST_S:
            self.ends_halved_at = now
            self.ends //= 2
            halves = {part: number // 2 for part, number in self.ends_by_part.items()}
            self.ends_by_part = Counter({part: number for part, number in halves.items() if number})
        parts = list(filter(is_part, digests))
        if parts:
            self.ends += 1
            self.ends_began_at.append(began_at)
            self.ends_by_part.update(parts)

    def _counts_since_served(self, crash: Crash) -> bool:
        """Tell whether a crash of a part came after all prompts with it that ended well at this box."""
        return is_part(crash.digest) and crash.at > self.served_at.get(crash.digest, NEVER)

    def explains(self, incarnation: str, without: Collection[str]) -> bool:
        """Tell whether what is quarantined, other than some requests and parts, explains a crash."""
        return any(
            crash.incarnation == incarnation
            for digest, item in self.quarantined_by_digest.items()
            if digest not in without
            for crash in item.crashes
        )

    def is_suspected(self, digest: str) -> bool:
        """Tell whether one more crash may quarantine a request or a part at some box."""
        return self.crashes_by_digest.get(digest, 0) >= min_crashes(digest) - 1

    def apply_rows(self, reports_by_key: Mapping[str, CrashReport | None], whole: bool) -> None:
        """Apply changed rows, None for a deleted one. whole: these are all rows."""
        self.informed = True
        if whole:
            self.reports_by_key.clear()
            if not self.router_reporting:
                self.router_report = CrashReport()
        for key, report in reports_by_key.items():
            if report is None:
                self.reports_by_key.pop(key, None)
            else:
                self.reports_by_key[key] = report
        self.heard.drop_read(reports_by_key)
        self._on_reports_changed()

    def hear_box(self, box: str, report: CrashReport) -> None:
        """Take what a box tells this router that it noticed; `apply_heard` judges it."""
        self.heard.keep_box(box, report)
        self.changed.notify_all()

    def hear_router(self, router: str, number: int, report: CrashReport) -> None:
        """Take what a router tells this box, likewise."""
        self.heard.keep_router(router, number, report)
        self.changed.notify_all()

    def apply_heard(self) -> None:
        """Judge the reports that came in messages."""
        self.heard.is_new = False
        self._on_reports_changed()

    def own_report(self) -> CrashReport:
        """Return the crashes that this box noticed, and its clearances, as its row has them."""
        return CrashReport(tuple(self.own_crashes.values()), dict(self.cleared))

    def restore_own_row(self, report: CrashReport) -> None:
        """Merge the row written by an earlier process of this box."""
        self.own_crashes = {
            (crash.digest, crash.incarnation): crash for crash in report.crashes
        } | self.own_crashes
        self.cleared = dict(report.cleared) | self.cleared
        self._prune_own_crashes(monotonic())
        self._mark_unpublished()
        self._on_reports_changed()

    def republish(self) -> None:
        """Have this box's row written again, since the table service may have lost it."""
        if self.own_crashes or self.cleared:
            self._mark_unpublished()

    def clear_rows(self) -> None:
        """Drop all rows, as this box no longer follows them."""
        self.reports_by_key.clear()
        self.rows_position = NO_POSITION

    def apply_router_report(self, report: CrashReport, position: Position) -> None:
        """Replace the router's report. position: its `rows_changed_position`."""
        self.informed = self.router_reporting = True
        self.router_report = report
        self.router_position = position
        self._on_reports_changed()

    def end_router_reports(self) -> None:
        """Note that no router reports now; its last report is kept until the rows are read."""
        self.router_reporting = False
        self.router_position = NO_POSITION

    def report_to_forward(self) -> CrashReport:
        """Return clearances, and crashes of requests that are quarantined or present at several crashes.

        What only another router told is left out.
        """
        if self.forwardable is None:
            self.forwardable = self._make_report()
        return self.forwardable

    def _make_report(self) -> CrashReport:
        by_digest: dict[str, list[Crash]] = {}
        counted = self._counted_crashes(self._latest_clearances(), self._received_reports())
        for crash in unexplained_crashes(counted, self.quarantined_by_digest):
            by_digest.setdefault(crash.digest, []).append(crash)
        suspected = [group for group in by_digest.values() if _incriminating(group) > 1]
        suspected.sort(key=lambda group: -_incriminating(group))
        requests = [item for item in self.requests_by_digest.values() if item.digest not in by_digest]
        known = {item.digest: item for item in (*self.quarantined_by_digest.values(), *requests)}
        groups = [list(item.crashes) for item in known.values()] + suspected
        first_hand = self._reports_at_first_hand()
        latest = self._clearances_in(first_hand)
        seen = {(crash.digest, crash.incarnation) for crash in self._counted_crashes(latest, first_hand)}
        told = ([crash for crash in group if (crash.digest, crash.incarnation) in seen] for group in groups)
        newest = (sorted(group, key=_newest_first)[:MAX_FORWARDED_PER_REQUEST] for group in told)
        crashes = tuple(crash for group in newest for crash in group)[:MAX_FORWARDED]
        cleared = sorted(latest.items(), key=lambda item: -item[1])
        return CrashReport(crashes, dict(cleared[:MAX_FORWARDED]))

    def _mark_unpublished(self) -> None:
        self.unpublished = True
        self.own_number += 1
        self.changed.notify_all()

    def _clear_suspicion(self, digests: Iterable[str]) -> None:
        now = monotonic()
        cleared_at_by_digest = {digest: self._innocent_at(digest, now) for digest in digests}
        changed = {
            digest: at
            for digest, at in cleared_at_by_digest.items()
            if at > self.cleared.get(digest, NEVER) and at >= self.first_crash_at_by_digest.get(digest, NEVER)
        }
        if not changed:
            return
        self.cleared |= changed
        for digest in changed:
            self.log.line(LogEvent.QUARANTINE, outcome="cleared", digest=digest)
        self._prune_own_crashes(now)
        self._mark_unpublished()
        self._update_quarantine()

    def _innocent_at(self, digest: str, now: float) -> float:
        """Return until when a request or part that was served is innocent; a part may change its nature."""
        return self.served_at.get(digest, now) if is_part(digest) else now

    def _on_reports_changed(self) -> None:
        """Update the quarantine, and clear suspected requests that this box has served."""
        self._update_quarantine()
        now = monotonic()
        served = [
            digest
            for digest in self.crashes_by_digest
            if self.is_suspected(digest) and now - self.served_at.get(digest, NEVER) < SERVED_TRUST_S
        ]
        if served:
            self._clear_suspicion(served)

    def _received_reports(self) -> list[CrashReport]:
        return [*self._reports_at_first_hand(), *self.heard.reports_of_routers()]

    def _reports_at_first_hand(self) -> list[CrashReport]:
        return [*self.reports_by_key.values(), *self.heard.by_box.values(), self.router_report]

    def _latest_clearances(self) -> dict[str, float]:
        """Return by digest when any box last cleared a request."""
        return self._clearances_in(self._received_reports())

    def _clearances_in(self, reports: Iterable[CrashReport]) -> dict[str, float]:
        """Return the same by this box's clearances and those of some reports."""
        cleared = dict(self.cleared)
        for report in reports:
            for digest, at in report.cleared.items():
                cleared[digest] = max(at, cleared.get(digest, NEVER))
        return cleared

    def _counted_crashes(self, cleared: Mapping[str, float], reports: Iterable[CrashReport]) -> list[Crash]:
        """Return own crashes and those of reports, duplicates included.

        What has expired, or a later clearance covers, is left out.
        """
        now = monotonic()
        received = [crash for source in reports for crash in source.crashes]
        if len(received) > MAX_PEER_CRASHES:
            received = sorted(received, key=_newest_first)[:MAX_PEER_CRASHES]
        return [
            crash
            for crash in (*self.own_crashes.values(), *received)
            if now - crash.at < CRASH_TTL_S and crash.at > cleared.get(crash.digest, NEVER)
        ]

    def _update_quarantine(self) -> None:
        cleared = self._latest_clearances()
        crashes = self._counted_crashes(cleared, self._received_reports())
        self.report_number += 1
        self.forwardable = None
        self.part_cleared_at = max((at for digest, at in cleared.items() if is_part(digest)), default=NEVER)
        self.crashes_by_digest = Counter(
            digest for digest, _ in {(item.digest, item.incarnation) for item in crashes}
        )
        self.first_crash_at_by_digest = _first_at(crashes)
        shares = self._shares_of_proven_parts(cleared)
        judged = [crash for crash in crashes if not is_part(crash.digest) or self._counts_since_served(crash)]
        before, self.quarantined_by_digest = (
            self.quarantined_by_digest,
            find_quarantined(judged, monotonic(), GoodEnds(shares, self.ends_began_at)),
        )
        self.requests_by_digest = self._without_parts(crashes)
        for digest in self.quarantined_by_digest.keys() - before.keys():
            self._on_begun(self.quarantined_by_digest[digest], shares)
        while len(self.trials_by_part) > MAX_OWN_CRASHES:
            del self.trials_by_part[next(iter(self.trials_by_part))]
        for digest in before.keys() - self.quarantined_by_digest.keys():
            self.log.line(LogEvent.QUARANTINE, outcome="ended", digest=digest)
        self._log_spared(judged, shares)

    def _on_begun(self, begun: QuarantinedRequest, shares: Mapping[str, float]) -> None:
        """Log that a quarantine has begun, and plan when a part is tried again."""
        digest, incarnations = begun.digest, [crash.incarnation for crash in begun.crashes]
        own = sum((digest, incarnation) in self.own_crashes for incarnation in incarnations)
        fields = {"own": own} | _share_field(digest, shares)
        self.log.line(LogEvent.QUARANTINE, outcome="begun", digest=digest, crashed=incarnations, **fields)
        self.urgent |= any(crash_digest == digest for crash_digest, _ in self.own_crashes)
        if is_part(digest):
            self.trials_by_part.setdefault(digest, Trial(monotonic() + _first_trial_s(digest, shares)))

    def _log_spared(self, judged: Iterable[Crash], shares: Mapping[str, float]) -> None:
        """Log once which parts are at enough crashes to be quarantined, and are not."""
        crashes_by_part: dict[str, list[Crash]] = {}
        for crash in judged:
            if is_part(crash.digest) and crash.digest not in self.quarantined_by_digest:
                crashes_by_part.setdefault(crash.digest, []).append(crash)
        at_many = {
            digest: crashes
            for digest, crashes in crashes_by_part.items()
            if len({crash.incarnation for crash in crashes}) >= min_crashes(digest)
        }
        for digest in at_many.keys() - self.spared:
            crashes, counted = at_many[digest], _incriminating(at_many[digest])
            count = len({crash.incarnation for crash in crashes})
            fields = _share_field(digest, shares)
            self.log.line(
                LogEvent.QUARANTINE, outcome="spared", digest=digest, crashes=count, counted=counted, **fields
            )
        self.spared = set(at_many)

    def _shares_of_proven_parts(self, cleared: Mapping[str, float]) -> dict[str, float]:
        """Return the parts that prompts have ended well with lately, at this box or as others say, and their
        share of all such prompts at this box."""
        since = monotonic() - SERVED_TRUST_S
        ended_well = (*self.served_at.items(), *cleared.items())
        proven = {digest for digest, at in ended_well if at > since and is_part(digest)}
        return {digest: self.ends_by_part[digest] / max(1, self.ends) for digest in proven}

    def _without_parts(self, crashes: Iterable[Crash]) -> dict[str, QuarantinedRequest]:
        """Return the requests to blame if none of their parts is."""
        if not any(map(is_part, self.quarantined_by_digest)):
            return self.quarantined_by_digest
        return find_quarantined((crash for crash in crashes if not is_part(crash.digest)), monotonic())

    def _prune_own_crashes(self, now: float) -> None:
        """Drop own crashes and clearances that are expired, cleared, or beyond MAX_OWN_CRASHES."""
        cleared = sorted(self.cleared.items(), key=lambda item: -item[1])[:MAX_OWN_CRASHES]
        self.cleared = {digest: at for digest, at in cleared if now - at < CRASH_TTL_S}
        counted = [
            crash
            for crash in self.own_crashes.values()
            if now - crash.at < CRASH_TTL_S and crash.at > self.cleared.get(crash.digest, NEVER)
        ]
        own_by_digest = Counter(crash.digest for crash in counted)

        def publication_order(crash: Crash) -> tuple[bool, bool, float]:
            """Put first what may quarantine something: most requests are at one crash only."""
            crashes = max(own_by_digest[crash.digest], self.crashes_by_digest[crash.digest])
            return (crashes < 2, shows_innocence(crash), _newest_first(crash))

        kept = sorted(counted, key=publication_order)[:MAX_OWN_CRASHES]
        self.own_crashes = {(crash.digest, crash.incarnation): crash for crash in kept}


def _first_trial_s(part: str, shares: Mapping[str, float]) -> float:
    """Return the seconds from the begin of a part's quarantine to the first request that tries it."""
    if part not in shares:
        return FIRST_TRIAL_S
    return POPULAR_TRIAL_S if shares[part] >= POPULAR_SHARE else NEXT_TRIAL_S


def _share_field(digest: str, shares: Mapping[str, float]) -> dict[str, Any]:
    """Return the share of this box's good ends that prompts with a part have, if there were any lately."""
    return {"share": round(shares[digest], 3)} if digest in shares else {}


def _first_at(crashes: Iterable[Crash]) -> dict[str, float]:
    """Return when the first crash of each request or part was noticed, by digest."""
    first_at_by_digest: dict[str, float] = {}
    for crash in crashes:
        first_at = first_at_by_digest.get(crash.digest, crash.at)
        first_at_by_digest[crash.digest] = min(first_at, crash.at)
    return first_at_by_digest


def _incriminating(crashes: Iterable[Crash]) -> int:
    """Return the number of incarnations whose crash may have been caused by the request or part."""
    return len({crash.incarnation for crash in crashes if not shows_innocence(crash)})


def _newest_first(crash: Crash) -> float:
    """Return a sort key that puts the newest first."""
    return -crash.at
