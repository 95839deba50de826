"""Identities of kept context: keyed hash chains that set workspaces and weight versions apart.

A prompt is cut into blocks of `BLOCK_TOKENS` tokens. Each block's digest covers the digests before
it, so that equal digests mean equal prefixes. The key is the workspace's secret: equal prompts of
two workspaces never meet, and nobody without the secret can guess an identity.
"""

import hashlib
import hmac
from dataclasses import dataclass

BLOCK_TOKENS = 256
BYTES_PER_TOKEN = 4
"""Bytes of prompt text taken for one token where no tokenizer is at hand."""

DIGEST_BYTES = 16


@dataclass(frozen=True)
class Prompt:
    """What routing knows of a prompt, with none of its text.

    family: names the conversation; the owner of the prompt is derived from it
    chain: digest of each whole block, first to last, before the weight version is mixed in
    tokens: estimated tokens of the whole prompt
    """

    family: bytes
    chain: tuple[bytes, ...]
    tokens: int


def workspace_key(secret: str, workspace: str, service: str) -> bytes:
    """Return the hash key of a workspace at a service."""
    text = f"{workspace}\0{service}".encode()
    return hmac.new(secret.encode(), text, hashlib.sha256).digest()


def digest_chain(key: bytes, text: bytes) -> tuple[bytes, ...]:
    """Return the digests of the whole blocks of a prompt's text."""
    block_bytes = BLOCK_TOKENS * BYTES_PER_TOKEN
    hasher = hashlib.blake2b(key=key, digest_size=DIGEST_BYTES)
    chain = []
    for start in range(0, len(text) - block_bytes + 1, block_bytes):
        hasher.update(text[start : start + block_bytes])
        chain.append(hasher.copy().digest())
    return tuple(chain)


def identify_prompt(key: bytes, opening: bytes, text: bytes) -> Prompt:
    """Return the prompt's identity; `opening` is the part that a conversation never changes."""
    family = hashlib.blake2b(opening, key=key, digest_size=DIGEST_BYTES).digest()
    return Prompt(family, digest_chain(key, text), count_tokens(text))


def count_tokens(text: bytes) -> int:
    """Return the estimated number of tokens of a text."""
    return max(1, -(-len(text) // BYTES_PER_TOKEN))


def block_ids(chain: tuple[bytes, ...], version: str) -> tuple[str, ...]:
    """Return the identities of a chain's blocks under a weight version, in hex."""
    key = version.encode()[: hashlib.blake2b.MAX_KEY_SIZE]
    return tuple(hashlib.blake2b(digest, key=key, digest_size=DIGEST_BYTES).hexdigest() for digest in chain)
