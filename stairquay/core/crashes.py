"""Which requests crash endpoints: what is known of crashes, and the verdict on it."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Crash:
    """An endpoint crashed while a request was there.

    digest: names the request, as `request_digest` gives it. life: names the life of the endpoint that ended.
    at: when that was noticed, in monotonic seconds. ran_s: seconds from sending the request to that.
    """

    digest: str
    life: str
    at: float
    ran_s: float
