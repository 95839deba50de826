"""A caller's request as routing sees it, whatever dialect the caller speaks."""

import hashlib
from dataclasses import dataclass, field

DIGEST_BYTES = 12
"""Bytes of a request's digest: two of a million requests get the same one with a chance below 1e-16."""


@dataclass(frozen=True)
class Part:
    """One part of a prompt. Equal ids hold equal tokens; a part counts only after all before it."""

    id: str
    tokens: int


@dataclass(frozen=True)
class PromptShape:
    """A prompt as a chain of parts. `tokens` counts the whole prompt, `max_output` bounds the answer.

    The last part is the request's own; the others may be shared with other requests.
    """

    model: str
    parts: tuple[Part, ...]
    tokens: int
    max_output: int = 0

    @property
    def shared(self) -> tuple[Part, ...]:
        """Return the parts that other requests may have in common with this one."""
        return self.parts[:-1]


@dataclass(frozen=True)
class Call:
    """One request of a caller. `key` is a secret; `time_left_s` is how long the caller waits.

    `headers` are the caller's own that go on to the endpoint. `resume_after` is the last event that the
    caller has of an earlier answer.
    """

    id: str
    method: str
    host: str
    path: str
    target: str
    headers: tuple[tuple[str, str], ...] = field(repr=False)
    key: str | None = field(default=None, repr=False)
    time_left_s: float | None = None
    prompt: PromptShape | None = None
    resume_after: str | None = None


@dataclass(frozen=True)
class Dispatch:
    """What goes with a request to the endpoint that was chosen for it.

    endpoint: the id that must answer. time_left_s: how long it may work. context_scope: the name under
    which it keeps and finds context. version: the weights it must run. fetch_from and save_to name an
    address for each part of the prompt, empty where there is none. fetch_until_ms: when a fetch is
    thrown away, on the endpoints' clock.
    """

    endpoint: str
    address: str
    time_left_s: float
    workspace: str = ""
    priority: int | None = None
    context_scope: str = ""
    version: int | None = None
    fetch_from: tuple[str, ...] = ()
    save_to: tuple[str, ...] = ()
    fetch_until_ms: int | None = None
    resume_after: str | None = None


def request_digest(call: Call, body: bytes) -> str:
    """Return the name by which a request is known again: that of its method, host, path, caller and body.

    The id differs each time that a caller sends a request again. Headers are left out, since clients change
    them from one time to the next.
    """
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in (call.method, call.host, call.target, call.key or ""):
        hasher.update(text.encode(errors="surrogateescape") + b"\0")
    hasher.update(body)
    return hasher.hexdigest()
