"""Requests of callers, independent of the protocol they arrive by."""

import hashlib
from dataclasses import dataclass, field

import msgspec

from stairquay.core.catalog import CatalogVersion

DIGEST_BYTES = 12
"""Length of a request digest in bytes. Two of a million requests have the same one with a probability below
1e-16."""


class Part(msgspec.Struct, frozen=True):
    """One part of a prompt. Equal ids stand for equal tokens, provided that all parts before it are equal
    too."""

    id: str
    tokens: int


class PromptShape(msgspec.Struct, frozen=True):
    """A prompt as a chain of parts. `tokens` is its whole length, `max_output` bounds the answer's.

    The last part belongs to this request only; the others may be shared with other requests.
    """

    model: str
    parts: tuple[Part, ...]
    tokens: int
    max_output: int = 0

    @property
    def shared(self) -> tuple[Part, ...]:
        """Return the parts that other requests may share."""
        return self.parts[:-1]

    def reads_shared(self, read: int) -> bool:
        """Tell whether an engine that prefills `read` tokens prefills some of the shared parts."""
        return read > self.tokens - sum(part.tokens for part in self.shared)


@dataclass(frozen=True)
class Call:
    """One request of a caller.

    headers: the caller's headers to pass on to the endpoint. key: the API key, a secret. time_left_s: how
    long the caller waits. resume_after: the last event that the caller received of an earlier answer.
    resumes: id of the request that brought the first event of that stream. forwarded_attempts: endpoints
    that it may be sent to if another box passed it on, None from a caller. forwarded_configuration: the one
    that this box went by, None from a caller and from a box that does not say.
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
    resumes: str | None = None
    forwarded_attempts: int | None = None
    forwarded_configuration: CatalogVersion | None = None


class Dispatch(msgspec.Struct, frozen=True):
    """Parameters sent to the chosen endpoint along with a request.

    endpoint: the id that must answer. time_left_s: time limit for the work. context_scope: scope of cached
    context. version: of the weights to run. fetch_from, save_to: an address for each part of the prompt, or
    empty. fetch_until_ms: deadline of fetches, by the endpoints' clock.
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
    """Return a digest of a request's method, host, target, API key and body, equal for its repeats.

    The id and the headers are left out, since clients change them on every retry.
    """
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in (call.method, call.host, call.target, call.key or ""):
        hasher.update(text.encode(errors="surrogateescape") + b"\0")
    hasher.update(body)
    return hasher.hexdigest()
