"""Wire format of models and the versions of their weights."""

from collections.abc import Iterable

import msgspec

from stairquay.core.whole_numbers import WholeNumber


class WireModel(msgspec.Struct):
    """A model and the version of its weights, which the configuration leaves out."""

    name: str
    version: WholeNumber = 0


def versions_by_model(models: Iterable[WireModel]) -> dict[str, int]:
    """Return the version of the weights by model name."""
    return {model.name: model.version for model in models}
