"""Options of gRPC channels between the processes of stairquay."""

from typing import Any

MAX_MESSAGE_OPTION = "grpc.max_receive_message_length"
MAX_CONNECTIONS_OPTION = "grpc.max_allowed_incoming_connections"

CHANNEL_OPTIONS: list[tuple[str, Any]] = [
    ("grpc.enable_retries", 0),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    (MAX_MESSAGE_OPTION, 64 * 1024 * 1024),
    ("grpc.enable_http_proxy", 0),
]
"""Without gRPC's own retries; a configuration may exceed its default message size."""
