"""A request that crashes each endpoint that begins it comes again and again, at any box.

Seen on six boxes and five engines: one prompt crashed 24 engines, 11 of them after the third, and all five were
down four times in twenty seconds. Each time it came with another id, mostly to another box. No box remembered a
request beyond its own attempts, so that each coming crashed as many engines as one request may be sent to; the
logs of two comings name the same digest, and a crash within 0.1 s of each beginning.
"""

import asyncio

from tests.site import Site, eventually, site

POISON = b"crash"


def arm(here: Site) -> None:
    for endpoint in here.endpoints:
        endpoint.crashes_on = POISON


def crashed(here: Site) -> int:
    return sum(endpoint.crashed for endpoint in here.endpoints)


def test_a_prompt_that_comes_again_crashes_three_engines_and_no_more():
    async def scenario():
        async with site(plain=0, engines=7, budget_window_s=1) as here:
            await here.until_slack()
            arm(here)
            for number in range(4):
                answer = await here.prompt("/again/x", call_id=f"crash-{number}", body=b"a prompt, crash")
                assert answer.status in (502, 503)
                await asyncio.sleep(0.1)
            assert crashed(here) == 3
            assert answer.status == 503 and float(answer.headers["Retry-After"]) > 1
            assert (await here.prompt("/again/x", call_id="well")).status == 200

    asyncio.run(scenario())
