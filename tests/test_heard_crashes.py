"""Crashes that boxes tell routers, and routers tell boxes, in notices and their replies."""

import msgspec

from stairquay.adapters.clock import monotonic
from stairquay.core.crashes import Crash
from stairquay.serving.crash_reports import apply_notice, apply_reply, encode_report, reply_to_notice
from stairquay.serving.heard_crashes import MAX_BOXES_HEARD, CrashReport
from stairquay.serving.messages import FinishedNotice, NoticeReply
from stairquay.serving.state import BoxState
from tests.states import box_state

ROUTER, STARTED = "r-1", "start-1"
PART = "part bad"


def crash(number: int, digest: str = PART) -> Crash:
    return Crash(digest, f"e-{number}/1", monotonic(), 0.1, None)


def crashed_box(name: str, *numbers: int) -> BoxState:
    """Return a box that has served a prompt, and has noticed crashes of these engines under a part."""
    box = box_state(name)
    box.quarantine.record_served(["part other"])
    box.quarantine.record_crashes([crash(number) for number in numbers])
    return box


def tell(box: BoxState, router: BoxState) -> NoticeReply:
    """Tell a router of a box's crashes, and take its reply, as by the messages' bytes."""
    quarantine, name = box.quarantine, box.settings.id
    told = encode_report(quarantine.own_report(), monotonic())
    notice = FinishedNotice((), box=name, crashes=told, crashes_seen=quarantine.heard.number_of(ROUTER))
    apply_notice(router, msgspec.msgpack.decode(msgspec.msgpack.encode(notice), type=FinishedNotice))
    router.quarantine.apply_heard()
    reply = reply_to_notice(router, notice, STARTED)
    apply_reply(box, ROUTER, reply)
    box.quarantine.apply_heard()
    return reply


def test_boxes_with_two_crashes_each_refuse_a_part_without_any_row():
    """Guards against boxes that each wait for four crashes of their own."""
    first, second, router = crashed_box("b-1", 1, 2), crashed_box("b-2", 3, 4), crashed_box(ROUTER)
    tell(first, router)
    assert not first.quarantine.remaining_s(PART)
    tell(second, router)
    assert router.quarantine.remaining_s(PART) and second.quarantine.remaining_s(PART)
    tell(first, router)
    assert first.quarantine.remaining_s(PART)


def test_a_router_tells_a_box_nothing_that_it_has_told_before():
    """Guards against a report in each reply, while nothing changes."""
    box, router = crashed_box("b-1", 1, 2), crashed_box(ROUTER, 3)
    assert tell(box, router).crashes is not None
    notice = FinishedNotice((), box="b-1", crashes_seen=box.quarantine.heard.number_of(ROUTER))
    assert reply_to_notice(router, notice, STARTED).crashes is None


def test_what_another_router_told_is_not_passed_on():
    """Guards against crashes and clearances that routers tell each other, a little later each time."""
    box, router = crashed_box("b-1", 1, 2, 3, 4), crashed_box(ROUTER)
    tell(box, router)
    other = crashed_box("r-2")
    apply_reply(other, ROUTER, reply_to_notice(router, FinishedNotice((), box="r-2"), STARTED))
    other.quarantine.apply_heard()
    assert other.quarantine.remaining_s(PART)
    assert other.quarantine.report_to_forward().crashes == ()
    box.quarantine.record_served([PART])
    tell(box, router)
    apply_reply(other, ROUTER, reply_to_notice(router, FinishedNotice((), box="r-2"), STARTED))
    other.quarantine.apply_heard()
    assert not other.quarantine.remaining_s(PART)
    assert other.quarantine.report_to_forward() == CrashReport()


def test_a_report_is_kept_until_the_row_of_its_box_says_as_much():
    """Guards against crashes that are forgotten as an older row of their box is read."""
    box, router = crashed_box("b-1", 1, 2, 3, 4), crashed_box(ROUTER)
    tell(box, router)
    router.quarantine.apply_rows({"b-1": CrashReport((crash(1),))}, True)
    assert router.quarantine.remaining_s(PART)
    router.quarantine.apply_rows({"b-1": box.quarantine.own_report()}, False)
    assert not router.quarantine.heard.by_box and router.quarantine.remaining_s(PART)


def test_a_clearance_that_a_box_tells_ends_the_quarantine_at_the_router():
    """Guards against a part that stays refused at boxes that hear of crashes but not of good ends."""
    box, router = crashed_box("b-1", 1, 2, 3, 4), crashed_box(ROUTER)
    tell(box, router)
    box.quarantine.record_served([PART])
    tell(box, router)
    assert not router.quarantine.remaining_s(PART)


def test_notices_of_an_earlier_release_are_answered_as_before():
    """Guards against a mixed release in which a notice or its reply can't be read."""
    box, router = crashed_box("b-1", 1), crashed_box(ROUTER, 2)
    notice = msgspec.msgpack.decode(msgspec.msgpack.encode([[], [], [], [], []]), type=FinishedNotice)
    apply_notice(router, notice)
    assert reply_to_notice(router, notice, STARTED).crashes is None
    reply = msgspec.msgpack.decode(msgspec.msgpack.encode([0.0, STARTED]), type=NoticeReply)
    apply_reply(box, ROUTER, reply)
    assert not box.quarantine.heard.by_router


def test_reports_of_boxes_that_come_and_go_take_bounded_memory():
    """Guards against a router that keeps a report for each name that ever told it one."""
    router = crashed_box(ROUTER)
    for number in range(MAX_BOXES_HEARD + 50):
        router.quarantine.hear_box(f"b-{number}", CrashReport((crash(number),)))
    assert len(router.quarantine.heard.by_box) == MAX_BOXES_HEARD
