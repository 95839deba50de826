"""Exchanges crash reports between boxes and routers in their messages, also while the table service is away.

Each box tells the routers of the crashes that it noticed. A router tells boxes what it knows at first hand,
by rows and from other boxes. What it has from another router is not passed on, as times shift with each
message.
"""

from stairquay.adapters.clock import monotonic
from stairquay.core.crashes import Crash
from stairquay.serving.heard_crashes import CrashReport
from stairquay.serving.messages import FinishedNotice, NoticeReply, PeerCrash, PeerCrashes
from stairquay.serving.state import BoxState


def encode_report(report: CrashReport, now: float) -> PeerCrashes:
    """Return a report as a message holds it, with ages in place of times."""
    crashes = tuple(
        PeerCrash(crash.digest, crash.incarnation, now - crash.at, crash.ran_s, crash.events)
        for crash in report.crashes
    )
    return PeerCrashes(crashes, tuple((digest, now - at) for digest, at in report.cleared.items()))


def decode_report(message: PeerCrashes, now: float) -> CrashReport:
    """Return the report in a message that was received now."""
    crashes = tuple(
        Crash(item.digest, item.life, now - item.ago_s, item.ran_s, item.events) for item in message.crashes
    )
    return CrashReport(crashes, {digest: now - ago_s for digest, ago_s in message.cleared})


def apply_notice(state: BoxState, notice: FinishedNotice) -> None:
    """Keep what a box tells of its crashes."""
    if notice.box and notice.crashes is not None:
        state.quarantine.hear_box(notice.box, decode_report(notice.crashes, monotonic()))


def reply_to_notice(state: BoxState, notice: FinishedNotice, started: str) -> NoticeReply:
    """Return a router's reply, with the crashes that it knows if they changed since the box was last told."""
    quarantine, late_s = state.quarantine, state.load.reported_late_s
    number = quarantine.report_number
    if not notice.box or notice.crashes_seen == number:
        return NoticeReply(late_s, started, notice.crashes_seen)
    return NoticeReply(late_s, started, number, encode_report(quarantine.report_to_forward(), monotonic()))


def apply_reply(state: BoxState, router: str, reply: NoticeReply) -> None:
    """Keep what a router tells of crashes."""
    if reply.crashes is not None:
        report = decode_report(reply.crashes, monotonic())
        state.quarantine.hear_router(router, reply.crashes_number, report)
