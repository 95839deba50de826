"""Takes a list out of a JSON document without reading its elements, any of which may be malformed.

A decoder fails as a whole on one element that is nested too deep or no JSON. Where the brackets of an element
do not match, the rest of the document cannot be told from it.
"""

import re

TOKEN_PATTERN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},]', re.S)
LIST_DEPTH = 2
"""Open brackets within the list of an object's field."""


def split_list(document: bytes, field: str) -> tuple[bytes, list[bytes]]:
    """Return an object with an empty list in one of its fields, and the elements of that list.

    Raises ValueError if the field is missing, or its list has no end.
    """
    name = f'"{field}"'.encode()
    depth, last_text, begins_at = 0, b"", 0
    element_at, elements = 0, list[bytes]()
    # Of the document only texts, brackets and commas are looked at, and where they are.
    for token in TOKEN_PATTERN.finditer(document):
        text = token[0]
        if text in b"[{":
            depth += 1
            if text == b"[" and depth == LIST_DEPTH and last_text == name and not begins_at:
                begins_at = element_at = token.end()
        elif text in b"]}":
            depth -= 1
        elif text != b",":
            last_text = text if depth == 1 else last_text
        if not begins_at:
            continue
        is_end = depth < LIST_DEPTH
        if is_end or (text == b"," and depth == LIST_DEPTH):
            elements.append(document[element_at : token.start()])
            element_at = token.end()
        if is_end:
            kept = [element for element in elements if element.strip()]
            return document[:begins_at] + document[token.start() :], kept
    raise ValueError(f"no list {field!r} that ends")
