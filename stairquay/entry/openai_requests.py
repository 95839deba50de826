"""Parses OpenAI-compatible requests, and encodes the request bodies for engines."""

from dataclasses import dataclass, field
from typing import Any

import msgspec
from result import Err, Ok, Result

from stairquay.core.errors import ErrorKind, Refusal
from stairquay.core.identity import BLOCK_TOKENS, BYTES_PER_TOKEN

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"

OPENING_BYTES = 4 * BLOCK_TOKENS * BYTES_PER_TOKEN
"""Leading bytes of a text completion's prompt that identify its family."""


@dataclass(frozen=True)
class PromptRequest:
    """A parsed completion request.

    turn: number of user messages; opening, text: input of the prompt's identity, never logged.
    """

    model: str
    stream: bool
    turn: int
    opening: bytes = field(repr=False)
    text: bytes = field(repr=False)
    body: dict[str, Any] = field(repr=False)


def parse_prompt(path: str, raw: bytes) -> Result[PromptRequest, Refusal]:
    """Parse the body of a chat or text completion."""
    try:
        body = msgspec.json.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return _bad_request(f"the body is not JSON ({type(error).__name__})")
    if not isinstance(body, dict):
        return _bad_request("the body must be a JSON object")
    model = body.get("model")
    if not isinstance(model, str) or not model:
        return _bad_request("`model` must be a non-empty string")
    if not isinstance(body.get("stream", False), bool):
        return _bad_request("`stream` must be true or false")
    parsed = _parse_chat(body) if path == CHAT_PATH else _parse_completion(body)
    if isinstance(parsed, Err):
        return parsed
    opening, text, turn = parsed.ok_value
    return Ok(PromptRequest(model, body.get("stream", False), turn, opening, text, body))


def engine_body(request: PromptRequest, ids: tuple[str, ...], version: str) -> bytes:
    """Return the client's body with the block ids added; a client's own `kv_transfer_params` are replaced."""
    params = {"ids": ids, "block_tokens": BLOCK_TOKENS, "version": version}
    return msgspec.json.encode({**request.body, "kv_transfer_params": params})


def _parse_chat(body: dict[str, Any]) -> Result[tuple[bytes, bytes, int], Refusal]:
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        return _bad_request("`messages` must be a list with at least one message")
    text = bytearray()
    opening = 0
    turn = 0
    for number, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            return _bad_request(f"`messages[{number}]` must be an object with a `role`")
        content = message.get("content")
        if not isinstance(content, str | list | None):
            return _bad_request(f"`messages[{number}].content` must be a string or a list")
        text += _serialize_message(message)
        if message["role"] == "user":
            turn += 1
            opening = opening or len(text)
    return Ok((bytes(text[: opening or len(text)]), bytes(text), max(1, turn)))


def _serialize_message(message: dict[str, Any]) -> bytes:
    """Return a message as bytes; different messages have different bytes."""
    content = message.get("content")
    if isinstance(content, str) and len(message) == 2:
        return f"<{message['role']}>\n{content}\n".encode(errors="surrogatepass")
    return msgspec.json.encode(message, order="sorted") + b"\n"


def _parse_completion(body: dict[str, Any]) -> Result[tuple[bytes, bytes, int], Refusal]:
    prompt = body.get("prompt")
    if not isinstance(prompt, str) or not prompt:
        return _bad_request("`prompt` must be a non-empty string")
    text = prompt.encode(errors="surrogatepass")
    return Ok((text[:OPENING_BYTES], text, 1))


def _bad_request(detail: str) -> Err[Refusal]:
    return Err(Refusal(ErrorKind.BAD_REQUEST, detail=detail))
