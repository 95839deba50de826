"""How each program follows configuration and box list: the order in which it asks its sources."""

import random
from collections.abc import Sequence

from stairquay.adapters.follower import Round, View, platform_round, routers_round
from stairquay.adapters.platform import HttpPlatform
from stairquay.adapters.rpc import RouterChannels
from stairquay.adapters.settings import ViewSettings
from stairquay.core.freshness import peers_for_majority

ROUTERS_ASKED = 2
"""Other routers that are asked for a view where the box's own does not answer."""


def follow_routers(
    settings: ViewSettings, own: str, platform: HttpPlatform, channels: RouterChannels
) -> Round:
    """Return a round that asks the box's own router, then others, then the platform."""

    def others(view: View) -> Sequence[str]:
        listed = sorted(set(view.routers().values()) - {own}) or list(settings.seeds)
        return random.sample(listed, min(ROUTERS_ASKED, len(listed)))

    ask_own = routers_round(channels, settings, lambda _: [own], need_fresh=True)
    ask_others = routers_round(channels, settings, others, need_fresh=True)
    ask_platform = platform_round(platform)

    async def one_round(view: View) -> None:
        if not await ask_own(view) and not await ask_others(view):
            await ask_platform(view)
        await channels.keep_only({own, *settings.seeds, *view.routers().values()})
        channels.connect(view.live_routers().values())

    return one_round


def follow_platform(
    settings: ViewSettings, own: str, platform: HttpPlatform, channels: RouterChannels
) -> Round:
    """Return a router's round: the platform, and all other routers where it does not answer."""

    def peers(view: View) -> Sequence[str]:
        listed = set(view.routers().values()) or set(settings.seeds)
        return sorted(listed - {own})

    ask_platform = platform_round(platform)
    ask_peers = routers_round(channels, settings, peers, need_fresh=False)

    async def one_round(view: View) -> None:
        view.freshness.required_peers = peers_for_majority(max(1, len(view.live_routers())))
        if not await ask_platform(view):
            await ask_peers(view)
        await channels.keep_only({*settings.seeds, *view.routers().values()})

    return one_round
