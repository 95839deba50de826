"""Refusals of requests that could not be served, with answers that promise no more than is known."""

from stairquay.core.errors import ErrorKind, Ran, Refusal
from stairquay.serving.choosing import Choice

RETRY_AFTER_S = 0.25
"""Seconds after which a refused caller should come back: about the time an endpoint needs for a batch."""

SHED_RETRY_AFTER_S = 0.3
"""Seconds after which a caller refused for overload should come back: half an objective."""


NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that promise that the request has not run."""

MIN_GATEWAY_STATUS = 502
"""Status from which an answer leaves open whether the request ran, unless it is one of NOT_RUN_STATUSES."""


def overloaded(choice: Choice) -> Refusal:
    """Return the refusal of a request that is not sent because even the best engine is behind."""
    detail = f"engines are {choice.backlog_s:.2f} s behind"
    return Refusal(ErrorKind.OVERLOADED, Ran.NOT_RUN, detail, SHED_RETRY_AFTER_S)


def all_throttled(retry_after_s: float, ran: Ran) -> Refusal:
    """Return the refusal of a request where each endpoint wants rest, or has got all that it takes while it
    is cold or names a limit.

    come_back_s: seconds after which one of them may take this request, after others refused before.
    """
    detail = f"endpoints take no more now, one takes the next request in {retry_after_s:.2f} s"
    return Refusal(ErrorKind.OVERLOADED, ran, detail, max(RETRY_AFTER_S, retry_after_s))


def reconcile_status(refusal: Refusal, ran: Ran) -> Refusal:
    """Return a refusal whose answer does not promise more than is known."""
    status = refusal.answer.status
    if ran == Ran.NOT_RUN and refusal.kind == ErrorKind.DEADLINE:
        return Refusal(ErrorKind.OVERLOADED, ran, "the time ran out before it was sent", RETRY_AFTER_S)
    if ran == Ran.NOT_RUN and status >= MIN_GATEWAY_STATUS and status not in NOT_RUN_STATUSES:
        return Refusal(ErrorKind.ENDPOINT_REFUSED, ran, refusal.detail, RETRY_AFTER_S)
    if ran != Ran.NOT_RUN and status in NOT_RUN_STATUSES:
        return Refusal(ErrorKind.ENDPOINT_FAILED, ran, refusal.detail)
    return refusal
