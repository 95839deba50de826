"""Adapters that connect the core to sockets, files and timers."""
