"""Odd entries in the platform's list of boxes, as the three programs read it."""

import asyncio
import json
from typing import Any

import pytest
from aiohttp import web

from stairquay.adapters.follower import View, platform_refresher
from stairquay.adapters.platform import HttpPlatform
from stairquay.core.models import Box, BoxKind
from tests.standins.table import serve_app

ENTRY = {
    "id": "e-1",
    "kind": "engine",
    "addresses": {"http": "127.0.0.1:8001"},
    "data_hall": "hall-a",
    "state": "live",
    "incarnation": "1",
}
ROUTER = {"id": "r-1", "kind": "stairquay", "addresses": {"router": "127.0.0.1:8002"}}
GOOD = {"e-1", "r-1"}


def text(**fields: Any) -> bytes:
    return json.dumps(ENTRY | {"id": "odd"} | fields).encode()


def nested(levels: int, field: str) -> bytes:
    name = json.dumps(field).encode()
    return text()[:-1] + b", " + name + b": " + b"[" * levels + b"]" * levels + b"}"


MALFORMED = {
    "nested in an unknown field": nested(100_000, "unknown"),
    "nested objects": text()[:-1] + b', "unknown": ' + b'{"a":' * 20_000 + b"1" + b"}" * 20_000 + b"}",
    "nested in a known field": nested(20_000, "addresses"),
    "nested alone": b"[" * 20_000 + b"]" * 20_000,
    "brackets in a text": text(data_hall="]}],[{", kind=7),
    "a kind that is none": text(kind="other"),
    "a state that is none": text(state="resting"),
    "an id that is a number": text(id=2**70),
    "an incarnation that is a number": text(incarnation=10**400),
    "addresses in a list": text(addresses=["127.0.0.1:8001"]),
    "an address that is a number": text(addresses={"http": 10**400}),
    "no number": text()[:-1] + b', "unknown": NaN}',
    "no object": b"7",
    "null": b"null",
    "a text": b'"odd"',
}
UNBALANCED = {
    "a list without end": text()[:-1] + b', "unknown": [}',
    "an object without end": text()[:-1],
    "an end too many": text() + b"]",
    "a text without end": text()[:-1] + b', "unknown": "}',
    "brackets that open the sound ones": text()[:-1] + b', "unknown": [7',
}
"""Entries after which the others cannot be told apart."""

ODD_ADDRESSES = (
    "127.0.0.1:70000",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:" + "9" * 31,
    "127.0.0.1:" + "9" * 5_000,
    "127.0.0.1:\u0663\u0663\u0663",
    "127.0.0.1:port",
    "127.0.0.1",
    "127.0.0.1:",
    ":8001",
    "127.0.0.1:8001\r\nHost: x",
    "127.0.0.1 :8001",
    "user@127.0.0.1:8001",
    "127.0.0.1/x:8001",
    "",
)


def followed(*odd: bytes) -> View:
    """Return the view of a program that reads a list with these entries."""

    async def handle(request: web.Request) -> web.Response:
        if request.path == "/boxes":
            entries = [json.dumps(ENTRY).encode(), *odd, json.dumps(ROUTER).encode()]
            return web.Response(body=b'{"as_of": 3, "boxes": [' + b", ".join(entries) + b"]}")
        row = {"key": "config/service/s", "value": "{}", "revision": 5}
        return web.json_response({"revision": 5, "rows": [row]})

    async def scenario() -> View:
        runner, address = await serve_app(handle)
        platform = HttpPlatform(f"http://{address}", 2.0)
        view = View("box-1", "entry", 5.0)
        try:
            await platform_refresher(platform)(view)
        finally:
            await platform.close()
            await runner.cleanup()
        return view

    return asyncio.run(scenario())


@pytest.mark.parametrize("odd", MALFORMED.values(), ids=MALFORMED.keys())
def test_one_malformed_entry_costs_that_entry_and_neither_the_list_nor_the_configuration(odd: bytes):
    """Guards against programs that follow nothing any more for the sake of one entry."""
    view = followed(odd)
    assert view.configuration.revision == 5
    assert view.membership.boxes.as_of == 3 and set(view.membership.boxes.by_id) == GOOD


@pytest.mark.parametrize("odd", UNBALANCED.values(), ids=UNBALANCED.keys())
def test_an_entry_with_unbalanced_brackets_does_not_keep_the_configuration_from_being_followed(odd: bytes):
    """Guards against revoked keys that stay valid while the list of boxes cannot be read."""
    view = followed(odd)
    assert view.configuration.revision == 5
    assert not view.membership.boxes.by_id and not view.ready()


@pytest.mark.parametrize("address", ODD_ADDRESSES, ids=lambda address: ascii(address[:30]))
def test_an_address_that_nobody_can_connect_to_is_left_out(address: str):
    """Guards against errors of the programs that send requests to a port out of range."""
    router = json.dumps(ROUTER | {"id": "r-2", "addresses": {"router": address, "entry": "10.0.0.1:1"}})
    view = followed(text(addresses={"http": address}), router.encode())
    assert set(view.membership.boxes.by_id) == GOOD | {"r-2"}
    assert view.membership.boxes.by_id["r-2"].addresses == {"entry": "10.0.0.1:1"}
    assert view.routers() == {"r-1": "127.0.0.1:8002"}


def test_a_list_of_sound_entries_is_read_whole():
    view = followed(text(addresses={"http": "[::1]:8001", "entry": "box.example:65535"}))
    odd = view.membership.boxes.by_id["odd"]
    assert isinstance(odd, Box) and odd.kind == BoxKind.ENGINE and len(odd.addresses) == 2


def test_many_odd_entries_cost_no_more_than_themselves():
    """Guards against a list that takes seconds to read."""
    view = followed(*[nested(2_000, "unknown")] * 500, *[text(kind=7)] * 2_000)
    assert set(view.membership.boxes.by_id) == GOOD
