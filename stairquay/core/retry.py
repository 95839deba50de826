"""Retry budget, jittered backoff, and ejection of failing endpoints with a cap."""

from dataclasses import dataclass, field

BUDGET_RATIO = 0.1
"""Retries allowed per request that came in, over the long run."""

BUDGET_MINIMUM = 5.0
"""Retries that a quiet service may always spend before the ratio binds."""

BACKOFF_BASE_S = 0.02
BACKOFF_CAP_S = 1.0

EJECT_AFTER_FAILURES = 3
"""Failures in a row that eject an endpoint."""

EJECT_BASE_S = 1.0
EJECT_CAP_S = 30.0
MAX_EJECTED_SHARE = 0.5
"""Share of a service's endpoints that may be out at once."""


class RetryBudget:
    """A bucket filled by requests and drained by retries; one for each service."""

    def __init__(self, ratio: float = BUDGET_RATIO, minimum: float = BUDGET_MINIMUM) -> None:
        self.ratio = ratio
        self.minimum = minimum
        self.level = minimum

    def on_request(self) -> None:
        """Count one request that came in."""
        self.level = min(self.level + self.ratio, self.minimum * 10)

    def take(self) -> bool:
        """Spend one retry, if the budget allows it."""
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


def backoff_s(attempt: int, random_share: float) -> float:
    """Return seconds before retry number `attempt` (from 1), by full jitter."""
    ceiling: float = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2**attempt)
    return ceiling * random_share


@dataclass
class EndpointHealth:
    """Failures in a row, and until when the endpoint is out (monotonic seconds)."""

    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0


@dataclass
class Ejector:
    """Outlier ejection for the endpoints of one service."""

    health_by_id: dict[str, EndpointHealth] = field(default_factory=dict)

    def on_success(self, endpoint: str) -> None:
        """Forget an endpoint's failures."""
        self.health_by_id.pop(endpoint, None)

    def on_failure(self, endpoint: str, now: float, total: int) -> bool:
        """Count a failure; return True where it ejects the endpoint."""
        health = self.health_by_id.setdefault(endpoint, EndpointHealth())
        health.failures += 1
        if health.failures < EJECT_AFTER_FAILURES or health.ejected_until > now:
            return False
        if len(self.ejected(now)) + 1 > total * MAX_EJECTED_SHARE:
            return False
        health.ejected_until = now + min(EJECT_CAP_S, EJECT_BASE_S * 2**health.ejections)
        health.ejections += 1
        return True

    def ejected(self, now: float) -> set[str]:
        """Return the endpoints that are out now."""
        return {key for key, health in self.health_by_id.items() if health.ejected_until > now}
