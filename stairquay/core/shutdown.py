"""When a box that is asked to stop refuses requests, answers those in progress, and ends."""

from dataclasses import dataclass

LAME_DUCK_S = 2.7
"""Seconds for which new requests are served after the stop signal: the load balancer checks readiness once a
second and stops sending after two failures. Callers keep using open connections, so without this end the last
requests would be cut off."""

MAX_LAME_DUCK_SHARE = 1 / 3
"""The same as a share of the grace time at most."""

ANSWER_MARGIN_S = 1.0
"""Seconds before the end of the grace time at which requests in progress are answered. Writing many answers,
closing connections and ending the process take a few tenths on a busy machine."""

MAX_ANSWER_MARGIN_SHARE = 1 / 6
"""The same as a share of the grace time at most. Ended earlier, an answer would be lost that its endpoint
may still give."""

EXIT_MARGIN_SHARE = 0.28
"""Part of that margin that is left when the process ends, whatever it has still to do."""


@dataclass(frozen=True)
class ShutdownTimes:
    """The steps of a shutdown, in monotonic seconds.

    refuse_at: from then on no request is taken, and none is passed on that may not end before `answer_by`.
    answer_by: then all requests in progress are answered. exit_by: then the process ends.
    """

    refuse_at: float
    answer_by: float
    exit_by: float


def shutdown_times(signalled_at: float, grace_s: float) -> ShutdownTimes:
    """Return the steps of a shutdown. grace_s: seconds from the stop signal until the process is killed."""
    margin_s = min(ANSWER_MARGIN_S, grace_s * MAX_ANSWER_MARGIN_SHARE)
    return ShutdownTimes(
        refuse_at=signalled_at + min(LAME_DUCK_S, grace_s * MAX_LAME_DUCK_SHARE),
        answer_by=signalled_at + grace_s - margin_s,
        exit_by=signalled_at + grace_s - margin_s * EXIT_MARGIN_SHARE,
    )
