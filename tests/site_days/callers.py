"""Callers of a site, who send its kinds of request to boxes of their hall and come back as they are told."""

import asyncio
from collections import Counter
from itertools import count
from random import Random

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from tests.site import HOST, KEY, MODEL, Site
from tests.site_days.budget_lines import SentRequest
from tests.site_days.site_file import BODILESS_METHOD, Kind, SiteFile, Traffic
from tests.standins.endpoint_process import CRASH_HEADER, ERROR_SHARE_HEADER
from tests.standins.endpoints import WORK_HEADER

CALL_TIMEOUT_S = 20.0
NEW_CONNECTION_SHARE = 0.3
RETRY_AFTER_S, MAX_WAIT_SHARE = 0.25, 1 / 3
"""Seconds after which callers come back that were not told, and the share of their time that they wait."""

PLAIN_WORK_S, PREFILL_S = 0.03, 0.06
LEAVE_S = (0.02, 0.6)
SAME_REQUEST = -1
"""Content of a request that comes again and again, with the same body and prompt. All others differ: boxes
know what crashes endpoints by its path, caller and body."""

REFUSALS = (408, 421, 429, 503)
"""Statuses that say that a request has not run, after which any request may be sent again."""


class Callers:
    """Sends the requests of a day.

    used: the boxes that take callers. pressed: factor of the rate. leave_share: callers that leave
    early. abuse_share, abuse_times: callers that repeat at once, and how often. deadly_parts: the number of
    the first part that crashes engines, by kind.
    """

    def __init__(self, site: SiteFile, boxes: list[Site], random: Random) -> None:
        self.site, self.random, self.numbers = site, random, count()
        self.used: list[Site] = list(boxes)
        self.pressed = 1.0
        self.leave_share = 0.0
        self.abuse_share, self.abuse_times = 0.0, 0
        self.deadly_parts: dict[str, int] = {}
        self.sent: list[SentRequest] = []
        self.statuses: Counter[int] = Counter()
        self.begun_by_kind: Counter[str] = Counter()
        self.calls: set[asyncio.Task[None]] = set()
        timeout = ClientTimeout(total=CALL_TIMEOUT_S)
        self.kept = ClientSession(connector=TCPConnector(limit=0), timeout=timeout)
        self.new = ClientSession(connector=TCPConnector(limit=0, force_close=True), timeout=timeout)

    async def press(self, traffic: Traffic) -> None:
        """Send a hall's requests until cancelled."""
        kinds = list(traffic.per_s_by_kind)
        rates = list(traffic.per_s_by_kind.values())
        while True:
            kind = self.site.kinds_by_name[self.random.choices(kinds, rates)[0]]
            self.send(kind, traffic.hall)
            await asyncio.sleep(self.random.expovariate(sum(rates) * self.pressed))

    def send(self, kind: Kind, hall: str, cause: str = "", new_part: str = "") -> None:
        """Send a request, and again as its caller would. cause: what it crashes endpoints by."""
        task = asyncio.create_task(self._request(kind, hall, cause, new_part))
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)

    async def end(self) -> None:
        """Wait for what is under way."""
        await asyncio.gather(*self.calls)
        await self.kept.close()
        await self.new.close()

    async def _request(self, kind: Kind, hall: str, cause: str, new_part: str) -> None:
        number, ends_at = next(self.numbers), loop_time() + kind.deadline_s
        content = SAME_REQUEST if cause and not new_part else number
        prompt, cause = self._prompt(kind, content, cause, new_part)
        body = None if kind.method == BODILESS_METHOD else f"{kind.name} {content}".encode()
        abuses = self.random.random() < self.abuse_share
        times = 1 + kind.retries + (self.abuse_times if abuses else 0)
        for attempt in range(times):
            left_s = ends_at - loop_time()
            if left_s <= 0:
                return
            call_id = f"call-{number}-{attempt}"
            status, told_s = await self._attempt(kind, hall, call_id, prompt, body, cause, left_s)
            if status == 200 or not (status in REFUSALS or kind.route_kind == "idempotent"):
                return
            wait_s = RETRY_AFTER_S if told_s is None else told_s
            await asyncio.sleep(0.0 if abuses else min(wait_s, (ends_at - loop_time()) * MAX_WAIT_SHARE))

    def _prompt(self, kind: Kind, content: int, cause: str, new_part: str) -> tuple[str, str]:
        """Return a prompt's parts, empty for a plain service, and what it crashes engines by."""
        if not kind.shared_parts:
            return "", cause
        if content == SAME_REQUEST:
            drawn = [0] * len(kind.shared_parts)
        else:
            drawn = [self.random.randrange(part.things) for part in kind.shared_parts]
        parts = [
            f"{kind.name}{place}x{which}:{part.tokens}"
            for place, (part, which) in enumerate(zip(kind.shared_parts, drawn, strict=True))
        ]
        if new_part:
            parts.insert(1, f"{new_part}:100")
        if drawn[0] == self.deadly_parts.get(kind.name) and not cause:
            cause = f"part {kind.name}0x{drawn[0]}"
        return ",".join([*parts, f"own{content}:{max(1, kind.prompt_tokens)}"]), cause

    async def _attempt(
        self,
        kind: Kind,
        hall: str,
        call_id: str,
        prompt: str,
        body: bytes | None,
        cause: str,
        left_s: float,
    ) -> tuple[int, float | None]:
        """Send one attempt, and return its status, 0 if its connection broke, and its Retry-After."""
        near = [box for box in self.used if box.hall == hall] or self.used
        box = self.random.choice(near)
        headers = {"Host": HOST, "Request-Id": call_id, "Deadline-Ms": str(int(left_s * 1000))}
        headers |= {"Authorization": f"Bearer {KEY}", ERROR_SHARE_HEADER: str(kind.error_share)}
        headers |= {WORK_HEADER: str(PREFILL_S if prompt else PLAIN_WORK_S)}
        headers |= {CRASH_HEADER: cause} if cause else {}
        if prompt:
            tokens = sum(int(part.rpartition(":")[2]) for part in prompt.split(","))
            headers |= {"Model": MODEL, "Token-Usage": f"{tokens},{kind.tokens_out}", "Prompt-Prefix": prompt}
        request = SentRequest(
            call_id,
            kind.service,
            loop_time(),
            left_s,
            kind.max_attempts,
            box.name,
        )
        self.sent.append(request)
        session = self.new if self.random.random() < NEW_CONNECTION_SHARE else self.kept
        leave_s = self.random.uniform(*LEAVE_S) if self.random.random() < self.leave_share else None
        url = f"http://{box.front}/{kind.name}/x"
        try:
            async with asyncio.timeout(leave_s):
                async with session.request(kind.method, url, headers=headers, data=body) as response:
                    self.statuses[response.status] += 1
                    await response.read()
                    self.begun_by_kind[kind.name] += response.status == 200 and not cause
                    told = response.headers.get("Retry-After")
                    return response.status, None if told is None else float(told)
        except (ClientError, TimeoutError):
            # The caller left, or the box ended; both are part of the day.
            self.statuses[0] += 1
            return 200 if leave_s is not None else 0, None


def loop_time() -> float:
    return asyncio.get_running_loop().time()
