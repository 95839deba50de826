"""What an attempt that has ended tells about its endpoint."""

from aiohttp import web

from stairquay.core.errors import ErrorKind, ExecutionStatus
from stairquay.serving.jobs import JobProgress
from stairquay.serving.messages import Outcome
from stairquay.serving.ports import SendFailure


def attempt_outcome(response: web.StreamResponse | None, progress: JobProgress) -> Outcome:
    """Return what an attempt that has just ended tells about its endpoint."""
    failure = progress.last
    if response is not None or failure is None:
        return Outcome.DONE
    if failure.ran == ExecutionStatus.NOT_RUN and failure.status:
        return Outcome.TURNED_AWAY
    if failure.ran == ExecutionStatus.NOT_RUN:
        return Outcome.UNREACHED if was_unreachable(failure) else Outcome.NOT_SENT
    return Outcome.FAILED if counts_against_endpoint(failure) else Outcome.DONE


def was_unreachable(failure: SendFailure) -> bool:
    """Tell whether no connection to the endpoint could be made."""
    return failure.ran == ExecutionStatus.NOT_RUN and not failure.status and counts_against_endpoint(failure)


def counts_against_endpoint(failure: SendFailure) -> bool:
    """Tell whether a failed attempt counts as its endpoint's failure."""
    return failure.fault and failure.kind != ErrorKind.DEADLINE
