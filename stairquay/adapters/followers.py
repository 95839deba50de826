"""Order in which each program queries the sources of its view: routers and the platform."""

import random
from collections.abc import Sequence

from stairquay.adapters.follower import RefreshRound, View, platform_refresher, routers_refresher
from stairquay.adapters.platform import HttpPlatform
from stairquay.adapters.rpc import RouterChannels
from stairquay.adapters.settings import ViewSettings
from stairquay.core.freshness import peers_for_majority

MAX_FALLBACK_ROUTERS = 2
"""Other routers to query if the box's own router has no fresh view."""


def router_first_round(
    settings: ViewSettings, own: str, platform: HttpPlatform, channels: RouterChannels
) -> RefreshRound:
    """Return a round that queries the box's own router, then others, then the platform.

    It ends at the first of them that answers with a fresh view.
    """

    def others(view: View) -> Sequence[str]:
        addresses = sorted(set(view.routers().values()) - {own}) or list(settings.seeds)
        return random.sample(addresses, min(MAX_FALLBACK_ROUTERS, len(addresses)))

    refresh_from_own_router = routers_refresher(channels, settings, lambda _: [own], require_fresh=True)
    refresh_from_other_routers = routers_refresher(channels, settings, others, require_fresh=True)
    refresh_from_platform = platform_refresher(platform)

    async def one_round(view: View) -> None:
        if not await refresh_from_own_router(view) and not await refresh_from_other_routers(view):
            await refresh_from_platform(view)
        await channels.close_others({own, *settings.seeds, *view.routers().values()})
        channels.connect(view.live_routers().values())

    return one_round


def platform_first_round(
    settings: ViewSettings, own: str, platform: HttpPlatform, channels: RouterChannels
) -> RefreshRound:
    """Return a router's round: queries the platform, and all other routers if it does not answer."""

    def peers(view: View) -> Sequence[str]:
        addresses = set(view.routers().values()) or set(settings.seeds)
        return sorted(addresses - {own})

    refresh_from_platform = platform_refresher(platform)
    refresh_from_peers = routers_refresher(channels, settings, peers, require_fresh=False)

    async def one_round(view: View) -> None:
        view.freshness.required_peers = peers_for_majority(max(1, len(view.live_routers())))
        if not await refresh_from_platform(view):
            await refresh_from_peers(view)
        await channels.close_others({*settings.seeds, *view.routers().values()})

    return one_round
