"""Crash reports that boxes told this one in messages, beside those in the rows of the table service."""

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

from stairquay.core.crashes import Crash

MAX_BOXES_HEARD = 500
"""Boxes whose reports a router keeps; more than the largest deployment has."""

MAX_ROUTERS_HEARD = 16
"""Routers whose reports a box keeps, former ones included."""


@dataclass(frozen=True)
class CrashReport:
    """Crashes that a box reports, and when it cleared requests of suspicion (by digest).

    Times are in monotonic seconds.
    """

    crashes: tuple[Crash, ...] = ()
    cleared: Mapping[str, float] = field(default_factory=dict)

    def timestamps(self) -> list[float]:
        """Return the times of all crashes and clearances."""
        return [*(crash.at for crash in self.crashes), *self.cleared.values()]

    def covers(self, other: "CrashReport") -> bool:
        """Tell whether this report holds each crash and clearance of another one, or clears the crash."""
        keys = {(crash.digest, crash.incarnation) for crash in self.crashes}
        crashes = all(
            (crash.digest, crash.incarnation) in keys or crash.digest in self.cleared
            for crash in other.crashes
        )
        return crashes and other.cleared.keys() <= self.cleared.keys()


class HeardReports:
    """The newest report of each box and of each router that told this one.

    by_router: with the number of the router's report, as its replies name it.
    """

    def __init__(self) -> None:
        self.by_box: OrderedDict[str, CrashReport] = OrderedDict()
        self.by_router: OrderedDict[str, tuple[int, CrashReport]] = OrderedDict()
        # Whether a report has come that is not judged yet.
        self.is_new = False

    def keep_box(self, box: str, report: CrashReport) -> None:
        """Keep what a box noticed itself."""
        self.by_box[box] = report
        self.by_box.move_to_end(box)
        while len(self.by_box) > MAX_BOXES_HEARD:
            self.by_box.popitem(last=False)
        self.is_new = True

    def keep_router(self, router: str, number: int, report: CrashReport) -> None:
        """Keep what a router knows."""
        self.by_router[router] = number, report
        self.by_router.move_to_end(router)
        while len(self.by_router) > MAX_ROUTERS_HEARD:
            self.by_router.popitem(last=False)
        self.is_new = True

    def number_of(self, router: str) -> int:
        """Return the number of the router's report that this box has, 0 for none."""
        known = self.by_router.get(router)
        return 0 if known is None else known[0]

    def forget_number(self, router: str) -> None:
        """Note that a router counts its reports anew, as it has started again."""
        known = self.by_router.get(router)
        if known is not None:
            self.by_router[router] = 0, known[1]

    def drop_read(self, reports_by_box: Mapping[str, CrashReport | None]) -> None:
        """Drop the reports of boxes whose rows say as much by now."""
        for box, row in reports_by_box.items():
            heard = self.by_box.get(box)
            if heard is not None and row is not None and row.covers(heard):
                del self.by_box[box]

    def reports_of_routers(self) -> list[CrashReport]:
        """Return the reports of all routers."""
        return [report for _, report in self.by_router.values()]
