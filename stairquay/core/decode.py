"""Strict decoding of JSON objects into data classes; reports all mistakes at once."""

from collections.abc import Callable, Mapping
from typing import Any, TypeVar, get_origin

from cattrs import ClassValidationError, Converter, IterableValidationError, transform_error
from cattrs.errors import ForbiddenExtraKeysError
from result import Err, Ok, Result

from stairquay.core.mistake import Mistake

T = TypeVar("T")


def decode(value: object, kind: type[T]) -> Result[T, list[Mistake]]:
    """Decode `value` as a `kind`, or return all mistakes in it."""
    if not isinstance(value, Mapping):
        return Err([Mistake("$", "expected an object")])
    try:
        return Ok(_CONVERTER.structure(value, kind))
    except (ClassValidationError, IterableValidationError) as error:
        return Err(
            [_parse_mistake(line) for line in transform_error(error, format_exception=_describe_error)]
        )


def encode(value: object) -> Any:
    """Encode a data class as JSON types."""
    return _CONVERTER.unstructure(value)


def _parse_mistake(line: str) -> Mistake:
    expected, _, path = line.rpartition(" @ ")
    return Mistake(path, expected)


def _describe_error(error: BaseException, kind: type | None) -> str:
    if isinstance(error, KeyError):
        return "required, but missing"
    if isinstance(error, ForbiddenExtraKeysError):
        return f"unknown keys: {', '.join(sorted(error.extra_fields))}"
    return str(error)


def _strict_hook(kind: type, accepted: tuple[type, ...], name: str) -> Callable[[Any, Any], Any]:
    def structure(value: Any, _: Any) -> Any:
        unexpected_bool = isinstance(value, bool) and kind is not bool
        if unexpected_bool or not isinstance(value, accepted):
            raise ValueError(f"expected {name}, not {value!r}")
        return kind(value)

    return structure


def _tuple_hook(kind: Any) -> Callable[[Any, Any], Any]:
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
    converter.register_structure_hook(str, _strict_hook(str, (str,), "a string"))
    converter.register_structure_hook(int, _strict_hook(int, (int,), "a whole number"))
    converter.register_structure_hook(float, _strict_hook(float, (int, float), "a number"))
    converter.register_structure_hook(bool, _strict_hook(bool, (bool,), "true or false"))
    converter.register_structure_hook_factory(_is_tuple, _tuple_hook)
    return converter


_CONVERTER = _make_converter()
