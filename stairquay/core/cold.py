"""The reduced load that endpoints take after a start."""

import msgspec


class ColdLimit(msgspec.Struct, frozen=True):
    """Rate limit of cold endpoints: requests per second over all callers, and the seconds after a start for
    which it applies."""

    per_s: float
    after_start_s: float = 0.0
