"""At-most-once execution: claims idempotency keys by conditional writes to the table.

Claims that arrive during a write are batched into the next one.
"""

import asyncio
import hashlib
from collections.abc import Sequence
from dataclasses import dataclass, field
from time import time

import msgspec
from result import Err, Ok, Result

from stairquay.adapters.clock import monotonic
from stairquay.adapters.ports import Commit, Committed, Condition, PlatformFault, Table, Write
from stairquay.core.errors import ErrorKind, ExecutionStatus, Refusal
from stairquay.core.row import Row

CLAIM_KEY_PREFIX = "once/"
MAX_KEY_CHARS = 255
MAX_RELEASE_ATTEMPTS = 10
RELEASE_RETRY_S = 1.0
READ_RETRY_S = 0.05


@dataclass(frozen=True)
class Claim:
    """Value of a claim's row. attempt: id of the request that claims the key; at: Unix seconds."""

    attempt: str
    body_hash: str
    box: str
    at: float


@dataclass
class PendingClaim:
    """A claim to be written, and the future of its outcome."""

    key: str
    claim: Claim
    outcome: "asyncio.Future[Result[None, Refusal]]" = field(repr=False)


def claim_key(workspace: str, idempotency_key: str) -> str:
    """Return the row key; the idempotency key is hashed, since it may be any text."""
    digest = hashlib.sha256(idempotency_key.encode(errors="surrogatepass")).hexdigest()
    return f"{CLAIM_KEY_PREFIX}{workspace}/{digest}"


def hash_request(method: str, path: str, body: bytes) -> str:
    """Return the hash that detects an idempotency key reused for another request."""
    return hashlib.sha256(f"{method} {path}\n".encode() + body).hexdigest()


class Claims:
    """Acquires and releases claims; `batch` is the maximum number of claims in a write."""

    def __init__(self, table: Table, box: str, batch: int, timeout_s: float) -> None:
        self.table = table
        self.box = box
        self.batch = batch
        self.timeout_s = timeout_s
        self.queue: list[PendingClaim] = []
        self.writer: asyncio.Task[None] | None = None
        self.releases: set[asyncio.Task[None]] = set()
        self.commits = 0

    async def acquire(self, key: str, request_id: str, body_hash: str) -> Result[None, Refusal]:
        """Claim a key for a request, which must not be sent if this fails."""
        claim = Claim(request_id, body_hash, self.box, time())
        outcome: asyncio.Future[Result[None, Refusal]] = asyncio.get_running_loop().create_future()
        self.queue.append(PendingClaim(key, claim, outcome))
        if self.writer is None or self.writer.done():
            self.writer = asyncio.create_task(self._write_all())
        try:
            async with asyncio.timeout(self.timeout_s):
                return await asyncio.shield(outcome)
        except TimeoutError:
            self.release(key, request_id)
            return _unavailable()
        except asyncio.CancelledError:
            self.release(key, request_id)
            raise

    def release(self, key: str, request_id: str) -> None:
        """Delete the claim of a request that has not run, in the background."""
        task = asyncio.create_task(self._release(key, request_id))
        self.releases.add(task)
        task.add_done_callback(self.releases.discard)

    async def _write_all(self) -> None:
        while self.queue:
            batch, self.queue = self.queue[: self.batch], self.queue[self.batch :]
            batch, later = _split_repeated_keys(batch)
            self.queue = later + self.queue
            await self._write(batch)

    async def _write(self, batch: Sequence[PendingClaim]) -> None:
        """Write a batch; if some keys are claimed already, retry with the others."""
        self.commits += 1
        outcome = await self.table.commit(_claim_commit(batch))
        if isinstance(outcome, Err):
            await self._resolve_failed_write(batch, outcome.err_value)
            return
        if isinstance(outcome.ok_value, Committed):
            _resolve(batch, Ok(None))
            return
        existing_rows = {row.key: row for row in outcome.ok_value.rows}
        for item in batch:
            if item.key in existing_rows:
                _resolve([item], _claim_outcome(item, existing_rows[item.key]))
        unclaimed = [item for item in batch if item.key not in existing_rows]
        if unclaimed and len(unclaimed) < len(batch):
            await self._write(unclaimed)
        elif unclaimed:
            _resolve(unclaimed, _unavailable())

    async def _resolve_failed_write(self, batch: Sequence[PendingClaim], fault: PlatformFault) -> None:
        if fault == PlatformFault.UNREACHED:
            _resolve(batch, _unavailable())
            return
        await asyncio.gather(*(self._resolve_by_reading(item) for item in batch))

    async def _resolve_by_reading(self, item: PendingClaim) -> None:
        """Read whether a write took effect after its response was lost."""
        deadline = monotonic() + self.timeout_s
        while monotonic() < deadline and not item.outcome.done():
            read = await self.table.get(item.key)
            if isinstance(read, Ok) and read.ok_value is not None:
                _resolve([item], _claim_outcome(item, read.ok_value))
                return
            await asyncio.sleep(READ_RETRY_S)
        _resolve([item], _unavailable())

    async def _release(self, key: str, request_id: str) -> None:
        for _ in range(MAX_RELEASE_ATTEMPTS):
            read = await self.table.get(key)
            if isinstance(read, Ok) and await self._delete_claim(read.ok_value, request_id):
                return
            await asyncio.sleep(RELEASE_RETRY_S)

    async def _delete_claim(self, row: Row | None, request_id: str) -> bool:
        """Delete a row if it is this request's claim; return False if this must be tried again."""
        if row is None or row.value is None:
            return False
        if msgspec.json.decode(row.value, type=Claim).attempt != request_id:
            return True
        commit = Commit(
            token=f"release-{request_id}",
            conditions=(Condition(row.key, row.revision),),
            writes=(Write(row.key, None),),
        )
        return isinstance(await self.table.commit(commit), Ok)


def _split_repeated_keys(batch: list[PendingClaim]) -> tuple[list[PendingClaim], list[PendingClaim]]:
    """Return the first claim of each key, and the others for a later write."""
    first: dict[str, PendingClaim] = {}
    later = []
    for item in batch:
        if item.key in first:
            later.append(item)
        else:
            first[item.key] = item
    return list(first.values()), later


def _claim_commit(batch: Sequence[PendingClaim]) -> Commit:
    return Commit(
        token="claim-" + "-".join(item.claim.attempt for item in batch),
        conditions=tuple(Condition(item.key, 0) for item in batch),
        writes=tuple(Write(item.key, msgspec.json.encode(item.claim).decode()) for item in batch),
    )


def _claim_outcome(item: PendingClaim, row: Row) -> Result[None, Refusal]:
    """Return the outcome for an existing row, which may be this very claim."""
    if row.value is None:
        return _unavailable()
    existing_claim = msgspec.json.decode(row.value, type=Claim)
    if existing_claim.attempt == item.claim.attempt:
        return Ok(None)
    if existing_claim.body_hash != item.claim.body_hash:
        return Err(Refusal(ErrorKind.KEY_REUSED))
    detail = f"request {existing_claim.attempt} holds the key; its response says whether it ran"
    return Err(Refusal(ErrorKind.ALREADY_CLAIMED, ExecutionStatus.UNKNOWN, detail))


def _unavailable() -> Result[None, Refusal]:
    return Err(Refusal(ErrorKind.CLAIM_UNAVAILABLE))


def _resolve(batch: Sequence[PendingClaim], outcome: Result[None, Refusal]) -> None:
    for item in batch:
        if not item.outcome.done():
            item.outcome.set_result(outcome)
