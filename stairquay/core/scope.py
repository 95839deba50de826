"""Scopes of cached context, which keep versions of weights and isolated workspaces apart."""

from dataclasses import dataclass

from stairquay.core.whole_numbers import parse_whole_number

SEPARATOR = "/"


@dataclass(frozen=True)
class Scope:
    """What cached context belongs to. workspace: the isolated workspace that may use it, empty if all may."""

    workspace: str
    model: str
    version: int

    @property
    def name(self) -> str:
        """Return the name known to endpoints and store boxes."""
        return SEPARATOR.join((self.workspace, self.model, str(self.version)))


def parse_scope(name: str) -> Scope | None:
    """Return the scope with a name, or None if the name is malformed."""
    workspace, _, remainder = name.partition(SEPARATOR)
    model, _, version = remainder.rpartition(SEPARATOR)
    number = parse_whole_number(version)
    if not model or number is None:
        return None
    return Scope(workspace, model, number)
