"""Retry budget, backoff with jitter, and outlier ejection of failing endpoints."""

from dataclasses import dataclass, field

BUDGET_RATIO = 0.1
"""Retries allowed per incoming request, in the long run."""

BUDGET_MINIMUM = 5.0
"""Initial budget in retries; the maximum is ten times this."""

BACKOFF_BASE_S = 0.02
BACKOFF_CAP_S = 1.0

EJECT_AFTER_FAILURES = 3
"""Consecutive failures after which an endpoint is ejected."""

EJECT_BASE_S = 1.0
EJECT_CAP_S = 30.0
MAX_EJECTED_SHARE = 0.5
"""Share of a service's endpoints that may be ejected at once."""


class RetryBudget:
    """Retry budget of one service: filled by requests, spent by retries."""

    def __init__(self, ratio: float = BUDGET_RATIO, minimum: float = BUDGET_MINIMUM) -> None:
        self.ratio = ratio
        self.minimum = minimum
        self.level = minimum

    def on_request(self) -> None:
        """Add the share of one incoming request."""
        self.level = min(self.level + self.ratio, self.minimum * 10)

    def take(self) -> bool:
        """Spend one retry if the budget allows it."""
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


def backoff_s(attempt: int, random_share: float) -> float:
    """Return the seconds before retry `attempt` (from 1): exponential backoff with full jitter."""
    ceiling: float = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2**attempt)
    return ceiling * random_share


@dataclass
class EndpointHealth:
    """Consecutive failures of an endpoint; `ejected_until` is in monotonic seconds."""

    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0


@dataclass
class Ejector:
    """Outlier ejection for the endpoints of one service."""

    health_by_id: dict[str, EndpointHealth] = field(default_factory=dict)

    def on_success(self, endpoint: str) -> None:
        """Reset an endpoint's failures and ejections."""
        self.health_by_id.pop(endpoint, None)

    def on_failure(self, endpoint: str, now: float, total: int) -> bool:
        """Count a failure; return whether it ejects the endpoint."""
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
        """Return the endpoints that are ejected now."""
        return {key for key, health in self.health_by_id.items() if health.ejected_until > now}
