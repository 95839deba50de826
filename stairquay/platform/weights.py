"""Models and the versions of their weights, as operators, endpoints and engines write them."""

from collections.abc import Iterable

import msgspec


class WireModel(msgspec.Struct):
    """A model by name, and the version of its weights; the configuration gives no version."""

    name: str
    version: int = 0


def versions_by_model(models: Iterable[WireModel]) -> dict[str, int]:
    """Return the version of each model's weights."""
    return {model.name: model.version for model in models}
