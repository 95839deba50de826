"""Endpoints say that they leave, or ask a box for rest, in their answers alone."""

import asyncio

from stairquay.explain import Logs, story
from tests.site import site


def test_lines_and_metrics_tell_which_endpoints_said_that_they_leave_or_asked_for_rest():
    async def scenario():
        async with site(plain=2, engines=1) as here:
            first, second, engine = here.endpoints
            engine.leaving = "1"
            assert (await here.prompt(call_id="llm")).status == 200
            first.rest = second.rest = "2.5"
            first.refuse = second.refuse = 1
            await here.call("/plain/x", call_id="turned-away")
            await asyncio.sleep(0.5)
            assert here.logged("ended", request="llm")[0]["leaving"]
            assert here.logged("leaving", endpoint=engine.id, service="llm", outcome="said")
            failed = here.logged("attempt_failed", request="turned-away", rest_s=2.5)
            asked = here.logged("rest", outcome="asked", for_s=2.5)
            assert failed and {line["endpoint"] for line in failed} >= {line["endpoint"] for line in asked}
            metrics = await here.metrics()
            assert f'stairquay_endpoint_leaving{{endpoint="{engine.id}"}} 1.0' in metrics
            assert f'stairquay_endpoint_rest_seconds_left{{endpoint="{asked[0]["endpoint"]}"}} ' in metrics
            told = "\n".join(story(Logs(here.log_lines), "turned-away"))
            assert "rest_s=2.5" in told and "outcome=asked for_s=2.5" in told

    asyncio.run(scenario())


def test_statements_that_cannot_be_read_are_told_once_and_counted():
    async def scenario():
        async with site(plain=1) as here:
            endpoint = here.endpoints[0]
            for text in ("0", "0", "perhaps"):
                endpoint.leaving = text
                assert (await here.call("/plain/x", call_id=f"odd-{text}")).status == 200
            endpoint.leaving, endpoint.rest, endpoint.refuse = None, "a while", 1
            await here.call("/plain/x", call_id="odd-rest")
            await asyncio.sleep(0.5)
            assert [line["text"] for line in here.logged("leaving", outcome="unreadable")] == ["0", "perhaps"]
            assert [line["text"] for line in here.logged("rest", outcome="unreadable")] == ["a while"]
            metrics = await here.metrics()
            assert 'stairquay_unreadable_statements_total{topic="leaving"} 3.0' in metrics
            assert 'stairquay_unreadable_statements_total{topic="rest"} 1.0' in metrics
            assert "stairquay_endpoint_leaving{" not in metrics
            assert "stairquay_endpoint_rest_seconds_left{" not in metrics

    asyncio.run(scenario())
