"""Addresses that others write, checked before anything connects to them."""

import re

from stairquay.core.whole_numbers import parse_whole_number

MAX_PORT = 65_535

HOST_PATTERN = re.compile(r"[A-Za-z0-9._-]+|\[[0-9A-Fa-f:.]+\]")
"""An IPv4 address or a name, or an IPv6 address in brackets."""


def is_address(address: str) -> bool:
    """Tell whether an address is `host:port`."""
    host, _, port = address.rpartition(":")
    return HOST_PATTERN.fullmatch(host) is not None and is_port(port)


def is_port(text: str) -> bool:
    """Tell whether a text is the decimal number of a port that can be connected to."""
    port = parse_whole_number(text)
    return port is not None and 0 < port <= MAX_PORT
