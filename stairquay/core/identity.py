"""Identities of prompt blocks: keyed hash chains, separate for each workspace and weight version.

Each block's digest covers the whole prefix up to its end. The hash is keyed with the workspace's secret,
so that workspaces share no cached blocks and block ids cannot be guessed.
"""

import hashlib
import hmac
from dataclasses import dataclass

BLOCK_TOKENS = 256
BYTES_PER_TOKEN = 4
"""Estimated average; prompts are not tokenized here."""

DIGEST_BYTES = 16


@dataclass(frozen=True)
class Prompt:
    """Identity and size of a prompt, without its text.

    family: hash that identifies the conversation and selects the owning router
    chain: digest of each whole block in order, independent of the weight version
    tokens: estimated tokens of the whole prompt
    """

    family: bytes
    chain: tuple[bytes, ...]
    tokens: int


def workspace_key(secret: str, workspace: str, service: str) -> bytes:
    """Derive the hash key of a workspace for a service."""
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
    """Return the ids, in hex, of a chain's blocks under a weight version."""
    key = version.encode()[: hashlib.blake2b.MAX_KEY_SIZE]
    return tuple(hashlib.blake2b(digest, key=key, digest_size=DIGEST_BYTES).hexdigest() for digest in chain)
