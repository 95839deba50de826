"""Which router owns a prompt family: rendezvous hashing over the live routers.

Two boxes that disagree about the live routers pick different owners only for families of the
routers they disagree about; a wrong owner costs time, never correctness. Families are keyed hashes
already, so a fast hash that is no secret's guard will do.
"""

from collections.abc import Iterable
from heapq import nlargest

from xxhash import xxh3_64_intdigest

DEFAULT_OWNERS = 3
"""How many owners are ranked by default: the first, and those to ask where it is silent."""


def rank_owners(key: bytes, names: Iterable[str], count: int = DEFAULT_OWNERS) -> list[str]:
    """Return the owners of a family, best first, at most `count`."""
    return nlargest(count, names, key=lambda name: xxh3_64_intdigest(key + name.encode()))
