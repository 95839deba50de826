"""HTTP client of store boxes: the catalogue of manifests, and the data of segments.

A segment's data is written first, under a new, unique name; its manifest then makes it visible. The data is
freed after the manifest is deleted and the last import order for the segment has expired.
docs/ENDPOINTS.md describes the calls.
"""

import asyncio
from dataclasses import dataclass

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout
from result import Err, Ok, Result

from stairquay.core.malformed import MALFORMED
from stairquay.core.residency import Segment

HTTP_OK = 200


@dataclass(frozen=True)
class CatalogueChange:
    """A manifest that was written, or deleted (`segment` is None)."""

    name: str
    segment: Segment | None


@dataclass(frozen=True)
class Catalogue:
    """Manifest changes after a given number, or a snapshot of all manifests if `whole`.

    capacity, used: bytes; data: names of all segments with data, only in a snapshot.
    """

    incarnation: str
    last_change: int
    whole: bool
    changes: tuple[CatalogueChange, ...]
    capacity: int = 0
    used: int = 0
    data: tuple[str, ...] = ()


async def fetch_catalogue(
    session: ClientSession, address: str, incarnation: str, after: int, timeout_s: float
) -> Result[Catalogue, str]:
    """Return the changes of a store box's catalogue after number `after` of an incarnation."""
    url = f"http://{address}/catalogue?incarnation={incarnation}&after={after}"
    try:
        async with session.get(url, timeout=ClientTimeout(total=timeout_s)) as response:
            text = await response.read()
            if response.status != HTTP_OK:
                return Err(f"status {response.status}")
            return Ok(msgspec.json.decode(text, type=Catalogue))
    except (ClientError, asyncio.TimeoutError, *MALFORMED) as error:
        return Err(type(error).__name__)


async def put_manifest(
    session: ClientSession, address: str, segment: Segment, timeout_s: float
) -> Result[None, str]:
    """Write a segment's manifest, which makes it visible."""
    url = f"http://{address}/manifests/{segment.name}"
    return await _send(session, "PUT", url, msgspec.json.encode(segment), timeout_s)


async def renew_manifest(
    session: ClientSession, address: str, segment: Segment, timeout_s: float
) -> Result[None, str]:
    """Update a segment's return probability and time of use, unless its manifest was deleted."""
    url = f"http://{address}/manifests/{segment.name}"
    body = msgspec.json.encode(segment)
    return await _send(session, "PUT", url, body, timeout_s, {"If-Match": "*"})


async def delete_manifest(
    session: ClientSession, address: str, name: str, timeout_s: float
) -> Result[None, str]:
    """Delete a segment's manifest; its data remains until it is freed."""
    return await _send(session, "DELETE", f"http://{address}/manifests/{name}", None, timeout_s)


async def free_data(session: ClientSession, address: str, name: str, timeout_s: float) -> Result[None, str]:
    """Free a segment's data."""
    return await _send(session, "DELETE", f"http://{address}/data/{name}", None, timeout_s)


async def _send(
    session: ClientSession,
    method: str,
    url: str,
    body: bytes | None,
    timeout_s: float,
    headers: dict[str, str] | None = None,
) -> Result[None, str]:
    timeout = ClientTimeout(total=timeout_s)
    try:
        async with session.request(method, url, data=body, timeout=timeout, headers=headers) as response:
            await response.read()
            if response.status != HTTP_OK:
                return Err(f"status {response.status}")
            return Ok(None)
    except (ClientError, asyncio.TimeoutError) as error:
        return Err(type(error).__name__)
