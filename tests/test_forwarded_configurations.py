"""Requests that are passed on by one configuration to a box that knows an older one."""

import asyncio
from collections import Counter
from dataclasses import replace
from random import Random

import pytest
from aiohttp.test_utils import make_mocked_request
from msgspec import structs
from result import Err, Ok

from stairquay.adapters.clock import monotonic
from stairquay.core.call import Call
from stairquay.core.catalog import Catalog, CatalogVersion, Route, ServiceSpec, Split, WorkspacePolicy
from stairquay.core.errors import ErrorKind, ExecutionStatus
from stairquay.core.fleet import Endpoint
from stairquay.core.helpers import Helpers
from stairquay.platform.box_client import _headers
from stairquay.platform.callers import PlatformCallerCodec
from stairquay.platform.names import CONFIGURATION, FORWARDED
from stairquay.serving.boxes import HEARTBEAT_INTERVAL_S
from stairquay.serving.following import apply_operators
from stairquay.serving.forwarding import Forwarder
from stairquay.serving.front import Frontend
from stairquay.serving.jobs import Job, JobProgress
from stairquay.serving.messages import OperatorsRequest
from stairquay.serving.ports import BoxRefusal, Forward, OperatorChanges
from stairquay.serving.reach import record_unreached
from stairquay.serving.state import RESTORE_GRACE_S, BoxState
from stairquay.serving.view_replies import operators_reply
from tests.cut_box import CutKind, write_cut
from tests.many_boxes import several_boxes
from tests.ports import port_of
from tests.site import Site, box_rows, configuration, eventually, route
from tests.states import box_state
from tests.test_cut_from_endpoints import cut

OLD = Catalog(
    version=4,
    routes=(Route("plain", "svc", "/", (Split("plain", 1.0),), public=True),),
    services_by_id={"plain": ServiceSpec("plain")},
    workspaces_by_key={"key": WorkspacePolicy("w1")},
)
NEWER = replace(OLD, version=7)


def call_of(**fields) -> Call:
    return Call("call-1", "GET", "svc", "/x", "/x", (), **fields)


def decoded(headers: dict[str, str]) -> Call:
    request = make_mocked_request("GET", "/x", headers={"Request-Id": "call-1", "Host": "svc"} | headers)
    return PlatformCallerCodec().decode(request).ok_value


@pytest.mark.parametrize("known", [CatalogVersion(1, 4), CatalogVersion(0, 1), CatalogVersion(3, 10**15)])
def test_the_sender_s_configuration_goes_with_a_request(known: CatalogVersion):
    """The other box could not tell that it knew less than the sender."""
    forward = Forward("h:1", 1.0, 1, configuration=known)
    assert decoded(dict(_headers(call_of(), forward))).forwarded_configuration == known


@pytest.mark.parametrize(
    "text", ["", "7", "1.", ".7", "1.-7", "a.b", "1.2.3", "1.7e3", "١.٧", "1." + "9" * 30]
)
def test_a_configuration_that_cannot_be_read_counts_as_none(text: str):
    """A request must not be refused, nor fail, for a header of another release."""
    call = decoded({FORWARDED: "1", CONFIGURATION: text})
    assert call.forwarded_configuration is None and call.forwarded_attempts == 1
    assert call.headers == (("Request-Id", "call-1"),)


def test_a_caller_s_own_configuration_header_means_nothing():
    """A caller could have its request refused where another one is served."""
    call = decoded({CONFIGURATION: "9.9"})
    assert call.forwarded_configuration is None and call.headers == (("Request-Id", "call-1"),)


class Dispatched:
    """Takes every request that the front accepts."""

    def __init__(self) -> None:
        self.jobs: list[Job] = []

    async def run(self, job: Job, request):
        self.jobs.append(job)
        return Ok(None)


def served_by(state: BoxState, call: Call) -> tuple[int, ErrorKind | None]:
    """Return how many requests were dispatched, and why it was refused."""
    dispatched = Dispatched()
    front = Frontend(state, PlatformCallerCodec(), dispatched, Random(1))
    request = make_mocked_request("GET", call.target)
    result = asyncio.run(front._serve(request, call, monotonic()))
    return len(dispatched.jobs), result.err_value.kind if isinstance(result, Err) else None


def box_that_knows(catalog: Catalog, era: int) -> BoxState:
    state = box_state()
    state.catalog, state.catalog_era, state.fleet_known = catalog, era, True
    state.view_asked_at = monotonic()
    state.quarantine.informed = True
    return state


# Guards against a request that was read behind one that an overloaded box refuses, and gets no answer.
@pytest.mark.parametrize("has_next", [False, True])
def test_the_refusal_of_an_overloaded_box_ends_its_connection_only_if_no_further_request_was_read(
    has_next: bool, monkeypatch: pytest.MonkeyPatch
):
    path = "/x"
    catalog = replace(OLD, version=7, routes=(structs.replace(OLD.routes[0], path_prefix=path),))
    state = box_that_knows(catalog, 1)
    monkeypatch.setattr(state.load, "admits", lambda priority: False)
    front = Frontend(state, PlatformCallerCodec(), Dispatched(), Random(1))
    request = make_mocked_request("GET", path)
    request.protocol._messages = ["next"] if has_next else []
    call = replace(call_of(), path=path, target=path)
    result = asyncio.run(front._serve(request, call, monotonic()))
    assert (result.ok_value.keep_alive is False) != has_next


@pytest.mark.parametrize("path", ["/x", "/nowhere"])
@pytest.mark.parametrize(
    ("known", "sender", "is_served"),
    [
        ((1, 4), CatalogVersion(1, 7), False),
        ((1, 7), CatalogVersion(1, 7), True),
        ((1, 7), CatalogVersion(1, 4), True),
        ((1, 7), CatalogVersion(2, 4), False),
        ((2, 4), CatalogVersion(1, 7), True),
        ((1, 4), None, True),
    ],
)
def test_a_box_that_knows_an_older_configuration_neither_answers_nor_runs_a_request(
    known: tuple[int, int], sender: CatalogVersion | None, is_served: bool, path: str
):
    """It answered 404 or 401, or the service ran the request that had the route before."""
    catalog = replace(OLD, version=known[1], routes=(structs.replace(OLD.routes[0], path_prefix="/x"),))
    state = box_that_knows(catalog, known[0])
    call = replace(call_of(forwarded_attempts=1, forwarded_configuration=sender), path=path, target=path)
    if not is_served:
        assert served_by(state, call) == (0, ErrorKind.OLDER_CONFIGURATION)
    elif path == "/x":
        assert served_by(state, call) == (1, None)
    else:
        assert served_by(state, call) == (0, ErrorKind.UNKNOWN_PATH)


class Boxes:
    """Other boxes, which refuse what is passed on to them."""

    def __init__(self, kinds_by_address: dict[str, ErrorKind]) -> None:
        self.kinds_by_address = kinds_by_address
        self.asked: list[Forward] = []

    async def send(self, call, body, forward, attempt):
        self.asked.append(forward)
        attempt.send()
        attempt.refuse()
        return Err(BoxRefusal(self.kinds_by_address[forward.address], ExecutionStatus.NOT_RUN, "said"))


def forwarded(state: BoxState, boxes: Boxes) -> object:
    now = monotonic()
    route_ = OLD.routes[0]
    job = Job(call_of(), b"", OLD, route_, OLD.services_by_id["plain"], None, now, now + 5.0)
    return asyncio.run(Forwarder(state, boxes, Random(1)).forward(job, JobProgress(), None))


def cut_state(kinds_by_address: dict[str, ErrorKind]) -> BoxState:
    state = box_that_knows(NEWER, 2)
    state.fronts_by_box = {f"box at {address}": address for address in kinds_by_address}
    for name in ("p-0", "p-1"):
        state.fleet.apply([Endpoint(name, "plain", "a:1")], (), 0.0)
        record_unreached(state, state.fleet.by_id[name])
    assert state.lost_services == {"plain"}
    return state


@pytest.mark.parametrize(
    "kind",
    [
        ErrorKind.OLDER_CONFIGURATION,
        ErrorKind.UNKNOWN_PATH,
        ErrorKind.UNAUTHENTICATED,
        ErrorKind.BODY_TOO_LARGE,
    ],
)
def test_what_another_box_denies_by_its_configuration_is_not_handed_on(kind: ErrorKind):
    """A caller got 404 or 401 for a route and key that its own box knew."""
    kinds = {"h:1": kind, "h:2": kind, "h:3": kind}
    state, boxes = cut_state(kinds), Boxes(kinds)
    result = forwarded(state, boxes)
    assert result.err_value.kind == ErrorKind.ENDPOINTS_UNREACHED
    assert result.err_value.ran == ExecutionStatus.NOT_RUN
    assert {item.address for item in boxes.asked} == set(kinds)
    assert {item.configuration for item in boxes.asked} == {CatalogVersion(2, 7)}


def test_other_refusals_are_handed_on_as_before():
    """What the endpoints said must not make a request go from box to box."""
    kinds = {"h:1": ErrorKind.ENDPOINT_REFUSED, "h:2": ErrorKind.ENDPOINT_REFUSED}
    state, boxes = cut_state(kinds), Boxes(kinds)
    assert forwarded(state, boxes).err_value.kind == ErrorKind.ENDPOINT_REFUSED and len(boxes.asked) == 1


def test_a_box_that_was_behind_is_asked_again_soon():
    """All boxes learn of a configuration within a moment; none may be left out for seconds for that."""
    helpers, names = Helpers(), [f"b-{number}" for number in range(5)]
    helpers.record("b-0", True, 100.0)
    for name in names:
        helpers.record_behind(name, 100.0)
    assert helpers.pick(names, 100.1, Random(1)) is None and helpers.has_helped(100.1)
    assert helpers.pick(names, 100.5, Random(1)) in names


def pass_on(router: BoxState, box: BoxState) -> None:
    """Let a box apply a router's view, whose request names the position that the box knows."""
    known = box.operators_position
    request = OperatorsRequest(known.revision, 0.0, era=known.era)
    changes = operators_reply(router, request, monotonic()).changes
    apply_operators(box, structs.replace(changes, forwarded=True), monotonic())


def test_a_configuration_that_a_router_holds_back_after_a_restore_stays_one_of_the_era_before():
    """A box took it for one of the new era, knew more than its router, and never went on to what is there."""
    router, box, new_box = box_state("b-1"), box_state("b-2"), box_state("b-3")
    newest, restored = replace(OLD, version=5), replace(OLD, version=4)
    apply_operators(router, OperatorChanges(90, True, newest, era=1), monotonic())
    pass_on(router, box)
    assert box.catalog_version == CatalogVersion(1, 5)
    apply_operators(router, OperatorChanges(80, True, restored, era=2), monotonic())
    assert router.catalog_version == CatalogVersion(1, 5), "the newest may be written again"
    for each in (box, new_box):
        pass_on(router, each)
        assert each.catalog_version == CatalogVersion(1, 5)
    router.restored_at -= 2 * RESTORE_GRACE_S
    apply_operators(router, OperatorChanges(81, True, restored, era=2), monotonic())
    assert router.catalog_version == CatalogVersion(2, 4)
    for each in (box, new_box):
        pass_on(router, each)
        assert each.catalog_version == CatalogVersion(2, 4)


def test_boxes_learn_of_the_era_in_which_the_configuration_was_written_again():
    """Boxes behind a router went on to count its configuration as older, and refused all it passed on."""
    router, box = box_state("b-1"), box_state("b-2")
    apply_operators(router, OperatorChanges(90, True, NEWER, era=1), monotonic())
    pass_on(router, box)
    apply_operators(router, OperatorChanges(80, True, OLD, era=2), monotonic())
    pass_on(router, box)
    assert box.catalog_version == router.catalog_version == CatalogVersion(1, 7)
    apply_operators(router, OperatorChanges(82, False, NEWER, era=2), monotonic())
    assert router.catalog_version == CatalogVersion(2, 7)
    pass_on(router, box)
    assert box.catalog_version == CatalogVersion(2, 7)


def test_a_router_of_an_earlier_release_names_no_era_of_its_configuration():
    """Its view counts as before: the configuration is of the era of the view."""
    box = box_state()
    apply_operators(box, OperatorChanges(80, True, OLD, era=2, forwarded=True), monotonic())
    assert box.catalog_version == CatalogVersion(2, 4)


MOVED_TO = "other"


def configuration_with(here: Site, version: int, moved_to: str, added: tuple[str, ...]) -> None:
    """Write a configuration in which one route moves between two services, and others are new."""
    routes = configuration(1, [])["routes"]
    routes.append(route("moved", "/moved/", moved_to, public=True))
    routes += [route(f"new-{prefix}", prefix, "plain", public=True) for prefix in added]
    services = [*configuration(1, [])["services"], {"name": MOVED_TO, "max_connections": 100}]
    here.put_configuration(version, routes=routes, services=services)


def cut_from_store(box: Site, others: list[Site]) -> None:
    """Cut a box from the table service, and from the boxes that would pass on what it says."""
    write_cut(
        box.folder,
        CutKind.RESET,
        [port_of(box.table.address), *(port_of(item.peer_address) for item in others)],
    )


def test_what_is_passed_on_to_a_box_that_is_cut_from_the_store_is_neither_denied_nor_run_by_the_old_service():
    """A box cut from the store got what a box cut from the endpoints passed on, and used the older routes."""

    async def scenario():
        async with several_boxes(3, module="tests.cut_box") as boxes:
            here, behind, current = boxes
            others = [endpoint for endpoint in here.endpoints if endpoint.id == "p-2"]
            others[0].service = MOVED_TO
            here.table.put("servers", "p-2", others[0].entry())
            configuration_with(here, 2, "plain", ())
            await eventually(lambda: len(box_rows(here)) == 3)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S * 1.2)
            cut([here], CutKind.RESET)
            # The box looks for a cut a few times a second.
            await asyncio.sleep(0.1)
            for number in range(4):
                await here.call("/open/x", call_id=f"lose-{number}")
            await eventually(lambda: here.logged("reach", outcome="lost", service="plain"))
            cut_from_store(behind, [here, current])
            await asyncio.sleep(0.2)
            configuration_with(here, 3, MOVED_TO, ("/new/",))
            await asyncio.sleep(1.0)
            answers = Counter()
            for number in range(40):
                for path in ("/new/x", "/moved/x"):
                    name = f"{path[1:4]}-{number}"
                    answer = await here.call(path, key=None, call_id=name)
                    answers[path, answer.status] += 1
                await asyncio.sleep(0.02)
            asked = here.logged("forwarded", to=f"{behind.name}@127.0.0.1")
            assert asked, "the box that is cut from the store was not asked"
            assert any(item["version"] == 3 for item in current.logged("configuration", outcome="in_force"))
            assert not any(
                item["version"] == 3 for item in behind.logged("configuration", outcome="in_force")
            )
            old = [item.id for end in here.endpoints for item in end.received if end.service == "plain"]
            assert not [name for name in old if name.startswith("mov-")], answers
            assert {status for _, status in answers} <= {200, 503}, answers
            assert sum(count for (_, status), count in answers.items() if status == 200) >= 72, answers

    asyncio.run(scenario())
