"""Status of the whole system, merged from the status of every router."""

import asyncio
from dataclasses import dataclass
from typing import Any

import grpc

from stairquay.adapters.follower import View
from stairquay.adapters.router_pb2 import StatusReply, StatusRequest
from stairquay.adapters.rpc import RouterChannels

STATUS_TIMEOUT_S = 1.0


@dataclass(frozen=True)
class ProcessStatus:
    """Status of one process.

    revision: configuration revision that the process has loaded
    list_as_of: version of its box list
    age_s: seconds since the process was last heard from
    """

    box: str
    role: str
    revision: int
    list_as_of: int
    reach: str
    age_s: float
    current: bool


@dataclass(frozen=True)
class EndpointView:
    """Status of one endpoint by its newest report; `wanted` is the target version of its placement."""

    id: str
    service: str
    version: str
    wanted: str
    loading: str
    leaving: bool
    queued_tokens: int
    running: int
    age_s: float


@dataclass(frozen=True)
class SystemStatus:
    """Status of the whole system.

    revision: newest known configuration revision
    silent: routers that did not answer
    kept_bytes_by_version: size of the stored segments
    """

    revision: int
    list_as_of: int
    reach: str
    processes: tuple[ProcessStatus, ...]
    endpoints: tuple[EndpointView, ...]
    silent: tuple[str, ...]
    kept_bytes_by_version: dict[str, int]

    @property
    def behind(self) -> tuple[ProcessStatus, ...]:
        """Return the processes that are not at the newest revision."""
        return tuple(item for item in self.processes if not item.current)


async def gather_status(view: View, channels: RouterChannels) -> SystemStatus:
    """Fetch the status of every listed router and merge the replies."""
    routers = view.routers()
    replies = await asyncio.gather(*(_fetch_status(channels, address) for address in routers.values()))
    replies_by_box = {box: reply for box, reply in zip(routers, replies, strict=True) if reply is not None}
    newest_revision = max(
        [view.configuration.revision, *(reply.revision for reply in replies_by_box.values())]
    )
    return SystemStatus(
        revision=newest_revision,
        list_as_of=view.membership.boxes.as_of,
        reach=view.reach().value,
        processes=tuple(_merge_processes(replies_by_box, newest_revision)),
        endpoints=tuple(_merge_endpoints(view, replies_by_box)),
        silent=tuple(sorted(set(routers) - set(replies_by_box))),
        kept_bytes_by_version=_stored_bytes_by_version(replies_by_box),
    )


async def _fetch_status(channels: RouterChannels, address: str) -> StatusReply | None:
    try:
        return await channels.stub(address).Status(StatusRequest(), timeout=STATUS_TIMEOUT_S)
    except grpc.aio.AioRpcError:
        return None


def _merge_processes(replies_by_box: dict[str, StatusReply], newest_revision: int) -> list[ProcessStatus]:
    latest: dict[tuple[str, str], ProcessStatus] = {}
    for box, reply in sorted(replies_by_box.items()):
        current = reply.revision == newest_revision
        own = ProcessStatus(box, "router", reply.revision, reply.list_as_of, reply.reach, 0.0, current)
        latest[box, "router"] = own
    for reply in replies_by_box.values():
        for item in reply.followers:
            key = (item.name, item.role)
            if item.role == "router" or (key in latest and latest[key].age_s <= item.age_s):
                continue
            current = item.revision == newest_revision
            latest[key] = ProcessStatus(
                item.name, item.role, item.revision, item.list_as_of, "", item.age_s, current
            )
    return list(latest.values())


def _merge_endpoints(view: View, replies_by_box: dict[str, StatusReply]) -> list[EndpointView]:
    placements = view.configuration.placements
    latest: dict[str, Any] = {}
    for reply in replies_by_box.values():
        for item in reply.endpoints:
            known = latest.get(item.id)
            if known is None or 0 <= item.age_s < known.age_s or known.age_s < 0:
                latest[item.id] = item
    views = []
    for item in latest.values():
        placement = placements.get(item.service)
        views.append(
            EndpointView(
                id=item.id,
                service=item.service,
                version=item.version,
                wanted=placement.version if placement is not None else "",
                loading=item.loading,
                leaving=item.leaving,
                queued_tokens=item.queued_tokens,
                running=item.running,
                age_s=item.age_s,
            )
        )
    return sorted(views, key=lambda item: item.id)


def _stored_bytes_by_version(replies_by_box: dict[str, StatusReply]) -> dict[str, int]:
    """Return stored bytes by version; a store box that several routers report counts once."""
    bytes_by_store_version: dict[tuple[str, str], int] = {}
    for reply in replies_by_box.values():
        for item in reply.kept:
            key = (item.store, item.version)
            bytes_by_store_version[key] = max(bytes_by_store_version.get(key, 0), item.bytes)
    bytes_by_version: dict[str, int] = {}
    for (_, version), size in bytes_by_store_version.items():
        bytes_by_version[version] = bytes_by_version.get(version, 0) + size
    return bytes_by_version
