"""What endpoints bear for some time after a start."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ColdLimit:
    """What the endpoints of a service bear while they are cold, in requests a second over all callers, and
    for how many seconds they are cold after a start."""

    per_s: float
    after_start_s: float = 0.0
