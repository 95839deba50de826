"""Strict decoding of JSON objects into data classes, with every mistake listed at once."""

from collections.abc import Callable, Mapping
from typing import Any, TypeVar, get_origin

from cattrs import ClassValidationError, Converter, IterableValidationError, transform_error
from cattrs.errors import ForbiddenExtraKeysError
from result import Err, Ok, Result

from stairquay.core.mistake import Mistake

T = TypeVar("T")


def decode(value: object, kind: type[T]) -> Result[T, list[Mistake]]:
    """Return `value` as a `kind`, or all the mistakes in it."""
    if not isinstance(value, Mapping):
        return Err([Mistake("$", "expected an object")])
    try:
        return Ok(_CONVERTER.structure(value, kind))
    except (ClassValidationError, IterableValidationError) as error:
        return Err([_mistake(line) for line in transform_error(error, format_exception=_explain)])


def encode(value: object) -> Any:
    """Return a data class as plain JSON types."""
    return _CONVERTER.unstructure(value)


def _mistake(line: str) -> Mistake:
    expected, _, path = line.rpartition(" @ ")
    return Mistake(path, expected)


def _explain(error: BaseException, kind: type | None) -> str:
    if isinstance(error, KeyError):
        return "required, but missing"
    if isinstance(error, ForbiddenExtraKeysError):
        return f"unknown keys: {', '.join(sorted(error.extra_fields))}"
    return str(error)


def _strict(kind: type, accepted: tuple[type, ...], name: str) -> Callable[[Any, Any], Any]:
    def structure(value: Any, _: Any) -> Any:
        wrong_bool = isinstance(value, bool) and kind is not bool
        if wrong_bool or not isinstance(value, accepted):
            raise ValueError(f"expected {name}, not {value!r}")
        return kind(value)

    return structure


def _list_only(kind: Any) -> Callable[[Any, Any], Any]:
    item = kind.__args__[0]

    def structure(value: Any, _: Any) -> Any:
        if not isinstance(value, list | tuple):
            raise ValueError(f"expected a list, not {value!r}")
        return tuple(_CONVERTER.structure(list(value), list[item]))  # type: ignore[valid-type]

    return structure


def _is_tuple(kind: Any) -> bool:
    return get_origin(kind) is tuple


def _make_converter() -> Converter:
    converter = Converter(forbid_extra_keys=True)
    converter.register_structure_hook(str, _strict(str, (str,), "a string"))
    converter.register_structure_hook(int, _strict(int, (int,), "a whole number"))
    converter.register_structure_hook(float, _strict(float, (int, float), "a number"))
    converter.register_structure_hook(bool, _strict(bool, (bool,), "true or false"))
    converter.register_structure_hook_factory(_is_tuple, _list_only)
    return converter


_CONVERTER = _make_converter()
