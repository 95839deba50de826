"""Ends quarantines by hand, by a row in the table of crashes that clears requests and parts of prompts."""

from collections.abc import Collection, Iterable, Sequence

import msgspec
from result import Err, Ok, Result

from stairquay.adapters.clock import monotonic
from stairquay.adapters.ports import Commit, Committed, Condition, Write
from stairquay.core.crashes import CRASH_TTL_S, Crash, is_part
from stairquay.core.row import Row
from stairquay.platform.connections import open_session
from stairquay.platform.names import CRASH_TABLE
from stairquay.platform.rows import FollowedRows, TableClient
from stairquay.serving.crash_rows import CrashRow, decode

ROW_KEY = "released"
"""Key of the row; boxes' rows have the boxes' ids, each with an @."""

NOTHING_WRITTEN = "the table service at {} does not answer, or another release was written just then"


async def release(table_address: str, digests: Sequence[str]) -> Result[None, str]:
    """Clear requests and parts, by digest, of all crashes until now.

    Parts that were at the same crashes are cleared of these too, as nothing would explain them otherwise.
    Boxes know it within 2 s. Crashes after that count again. An error is text for the operator; nothing is
    written then, or it is not known whether it was.
    """
    session = open_session()
    try:
        table = FollowedRows(TableClient(table_address, session), CRASH_TABLE)
        if await _write(table, digests):
            return Ok(None)
        return Err(NOTHING_WRITTEN.format(table_address))
    finally:
        await session.close()


def _parts_beside(digests: Collection[str], crashes: Iterable[Crash]) -> set[str]:
    """Return the parts that were at crashes at which one of these digests was."""
    by_incarnation: dict[str, set[str]] = {}
    for crash in crashes:
        by_incarnation.setdefault(crash.incarnation, set()).add(crash.digest)
    beside = (present for present in by_incarnation.values() if not present.isdisjoint(digests))
    return {digest for present in beside for digest in present if is_part(digest)}


async def _write(table: FollowedRows, digests: Sequence[str]) -> bool:
    """Add clearances to the row, those that have expired left out; return whether that was committed."""
    found = await table.read()
    offset = table.clock_offset()
    if isinstance(found, Err) or offset is None:
        return False
    present = next((row for row in found.ok_value.rows if row.key == ROW_KEY), Row(ROW_KEY, None, 0, 0))
    now = monotonic()
    earlier = decode(present, offset).cleared
    cleared = {digest: at for digest, at in earlier.items() if now - at < CRASH_TTL_S}
    crashes = [crash for row in found.ok_value.rows for crash in decode(row, offset).crashes]
    cleared |= dict.fromkeys((*digests, *_parts_beside(digests, crashes)), now)
    row = CrashRow((), tuple((digest, offset.to_remote(at)) for digest, at in cleared.items()))
    write = Write(ROW_KEY, msgspec.json.encode(row).decode())
    answer = await table.commit(Commit("", (Condition(ROW_KEY, present.revision),), (write,)))
    return not isinstance(answer, Err) and isinstance(answer.ok_value, Committed)
