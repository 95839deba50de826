"""Holds prompts with parts that may crash engines, until one prompt shows whether they do.

A part that ended well lately is refused after many crashes only, since refusing it costs the most. Until then
few prompts with it are sent, so that few engines crash. The others wait, as most held parts only ran beside
the one at fault.
"""

from collections.abc import Iterable, Sequence

from stairquay.adapters.clock import monotonic
from stairquay.core.crashes import INNOCENT_EVENTS, HeldPart
from stairquay.core.errors import ErrorKind, ExecutionStatus, Refusal
from stairquay.core.ownership import rank_owners
from stairquay.serving.jobs import Job, JobProgress
from stairquay.serving.state import BoxState

MAX_WAIT_S = 1.5
"""Most seconds for which a prompt waits; then it is refused."""

RANK_PAUSE_S = 1.0
"""Seconds between the boxes that may try a part, in the order of rendezvous hashing: what one learns is known
to the next by then."""

RETRY_AFTER_S = 1.0
"""Retry-After of prompts that have waited in vain, in seconds."""

OWN_PAUSE_S = 2.0
"""Seconds until a box tries a part again, where the first prompt shows nothing yet."""

COMPANION_PAUSE_S = 0.5
"""Seconds for which a prompt with a further held part leaves the trial to prompts with one only: if their
engine crashes, either may be at fault."""


class PartHolds:
    """Decides which prompts with held parts are sent."""

    def __init__(self, state: BoxState) -> None:
        self.state = state
        # When this box last tried a held part.
        self.tried_at_by_part: dict[str, float] = {}

    def held(self, job: Job, progress: JobProgress) -> list[HeldPart]:
        """Return the parts for which a job may not be sent now."""
        if progress.stream.events >= INNOCENT_EVENTS:
            return []
        return [part for part in self.held_of(job.part_digests) if part.digest not in progress.tried_parts]

    def held_of(self, parts: Iterable[str]) -> list[HeldPart]:
        """Return those of a prompt's parts that are held."""
        held_by_part = self.state.quarantine.held_by_part
        return [held_by_part[part] for part in parts if part in held_by_part] if held_by_part else []

    async def wait(self, job: Job, progress: JobProgress) -> bool:
        """Wait until no part of a job is held, or the job may try them. Return whether it may be sent."""
        progress.tried_parts = frozenset()
        until = min(monotonic() + MAX_WAIT_S, job.deadline)
        while held := self.held(job, progress):
            if self.take_trial(held):
                progress.tried_parts = frozenset(part.digest for part in held)
                return True
            now = monotonic()
            if now >= until:
                return False
            await self.state.quarantine.held_changed.wait(min(max(self.try_at(held), now), until) - now)
        return True

    def take_trial(self, held: Sequence[HeldPart]) -> bool:
        """Tell whether a prompt may be sent now, to learn whether its held parts crash engines."""
        now = monotonic()
        if now < self.try_at(held):
            return False
        self.state.quarantine.reconsider()
        held_by_part = self.state.quarantine.held_by_part
        if any(held_by_part.get(part.digest) != part for part in held):
            return False
        kept = {part: at for part, at in self.tried_at_by_part.items() if part in held_by_part}
        self.tried_at_by_part = kept | {part.digest: now for part in held}
        for part in held:
            self.state.quarantine.record_held_trial(part.digest)
        return True

    def try_at(self, held: Sequence[HeldPart]) -> float:
        """Return when a prompt with these held parts may be sent, as far as is known."""
        own = (self.tried_at_by_part.get(part.digest, float("-inf")) + OWN_PAUSE_S for part in held)
        planned = (part.try_at + self._rank(part.digest) * RANK_PAUSE_S for part in held)
        return max(*own, *planned) + (len(held) - 1) * COMPANION_PAUSE_S

    def not_sent(self, progress: JobProgress) -> None:
        """Let another prompt try what a job was to try, since no endpoint takes it."""
        for part in progress.tried_parts:
            self.tried_at_by_part.pop(part, None)

    def _rank(self, part: str) -> int:
        ranked = rank_owners(part.encode(), self.state.boxes)
        own = self.state.settings.id
        return ranked.index(own) if own in ranked else len(ranked)


def held_refusal(held: Iterable[HeldPart], ran: ExecutionStatus) -> Refusal:
    """Return the refusal of a prompt that has waited for held parts in vain."""
    detail = "held " + ", ".join(part.digest for part in held)
    return Refusal(ErrorKind.QUARANTINED, ran, detail, RETRY_AFTER_S)
