"""Rendezvous hashing of keys over routers.

Boxes that disagree on the live routers may pick different owners, which costs time but not correctness.
The hash needs no cryptographic strength.
"""

from collections.abc import Iterable
from heapq import nlargest

from xxhash import xxh3_64_intdigest

DEFAULT_OWNERS = 3
"""Owners ranked by default: the first, and fallbacks if it does not answer."""


def rank_owners(key: bytes, names: Iterable[str], count: int = DEFAULT_OWNERS) -> list[str]:
    """Return the owners of a key, best first, at most `count`."""
    return nlargest(count, names, key=lambda name: xxh3_64_intdigest(key + name.encode()))
