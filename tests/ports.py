"""Free loopback ports for processes under test, from a range that this process reserves."""

import random
import socket
from collections.abc import Iterator
from dataclasses import dataclass
from functools import cache
from itertools import cycle

FIRST_PORT, LAST_PORT, SLOT_PORTS = 15_000, 32_000, 500
"""Below the ephemeral ports of the system."""


@dataclass
class PortSlot:
    """A range of ports, reserved for this process while the lock socket at its start is bound."""

    lock_socket: socket.socket
    ports: Iterator[int]


@cache
def port_slot() -> PortSlot:
    bases = list(range(FIRST_PORT, LAST_PORT, SLOT_PORTS))
    random.shuffle(bases)
    for base in bases:
        lock_socket = socket.socket()
        try:
            lock_socket.bind(("127.0.0.1", base))
        except OSError:
            lock_socket.close()
            continue
        return PortSlot(lock_socket, cycle(range(base + 1, base + SLOT_PORTS)))
    raise RuntimeError("no range of ports is free")


def free_port() -> int:
    for port in port_slot().ports:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise RuntimeError("no port is free")


def port_of(address: str) -> int:
    """Return the port of an address."""
    return int(address.rpartition(":")[2])
