"""Refusals of requests that could not be served, with answers that promise no more than is known."""

from stairquay.core.errors import ErrorKind, ExecutionStatus, Refusal
from stairquay.serving.endpoint_choice import Choice

RETRY_AFTER_S = 0.25
"""Seconds after which a refused caller should come back: about the time an endpoint needs for a batch."""

SHED_RETRY_S = 0.3
"""Seconds after which a caller refused for overload should come back: half an objective."""


NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that promise that the request has not run."""

GATEWAY_ERROR = 502
"""Status from which an answer leaves open whether the request ran, unless it is one of NOT_RUN_STATUSES."""


def overloaded(choice: Choice) -> Refusal:
    """Return the refusal of a request that is not sent because even the best engine is behind."""
    detail = f"engines are {choice.backlog_s:.2f} s behind"
    return Refusal(ErrorKind.OVERLOADED, ExecutionStatus.NOT_RUN, detail, SHED_RETRY_S)


def all_held_back(come_back_s: float, ran: ExecutionStatus) -> Refusal:
    """Return the refusal of a request where each endpoint wants rest, or has got all that it takes while it
    is cold or names a limit.

    come_back_s: seconds after which one of them may take this request, after others refused before.
    """
    detail = f"endpoints take no more now, one takes the next request in {come_back_s:.2f} s"
    return Refusal(ErrorKind.OVERLOADED, ran, detail, max(RETRY_AFTER_S, come_back_s))


def truthful(refusal: Refusal, ran: ExecutionStatus) -> Refusal:
    """Return a refusal whose answer does not promise more than is known."""
    status = refusal.response.status
    if ran == ExecutionStatus.NOT_RUN and refusal.kind == ErrorKind.DEADLINE:
        return Refusal(ErrorKind.OVERLOADED, ran, "the time ran out before it was sent", RETRY_AFTER_S)
    if ran == ExecutionStatus.NOT_RUN and status >= GATEWAY_ERROR and status not in NOT_RUN_STATUSES:
        return Refusal(ErrorKind.ENDPOINT_REFUSED, ran, refusal.detail, RETRY_AFTER_S)
    if ran != ExecutionStatus.NOT_RUN and status in NOT_RUN_STATUSES:
        return Refusal(ErrorKind.ENDPOINT_FAILED, ran, refusal.detail)
    return refusal
