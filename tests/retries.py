"""What tests of the retry budget share: its bounds as settings, and repeats among arrivals."""

from collections.abc import Iterable

from stairquay.core.budget import RetryAllowance


def budget_bounds(allowance: RetryAllowance) -> dict[str, float]:
    """Return the settings of a box for an allowance."""
    return {
        "retry_budget_ratio": allowance.ratio,
        "budget_window_s": allowance.window_s,
        "budget_slack": allowance.slack,
    }


def beyond_the_first(arrivals: Iterable[tuple[float, str]]) -> list[float]:
    """Return when requests arrived that had arrived before. arrivals: times and ids, in any order."""
    seen: set[str] = set()
    times = []
    for at, call_id in sorted(arrivals):
        if call_id in seen:
            times.append(at)
        seen.add(call_id)
    return times
