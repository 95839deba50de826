"""Names under which context is kept, so that nothing crosses a version of weights or a workspace's wall."""

from dataclasses import dataclass

SEPARATOR = "/"


@dataclass(frozen=True)
class Scope:
    """What kept context belongs to. `wall` is the one workspace that may use it, empty where all may."""

    workspace: str
    model: str
    version: int

    @property
    def name(self) -> str:
        """Return the name that endpoints and store boxes know."""
        return SEPARATOR.join((self.workspace, self.model, str(self.version)))


def parse_scope(name: str) -> Scope | None:
    """Return the scope of a name, None where it is not one of ours."""
    workspace, _, remainder = name.partition(SEPARATOR)
    model, _, version = remainder.rpartition(SEPARATOR)
    if not model or not version.isdecimal():
        return None
    return Scope(workspace, model, int(version))
