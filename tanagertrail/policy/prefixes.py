"""Hashing of prompt prefixes in blocks."""

__all__ = ["BLOCK_CHARACTERS", "MAX_BLOCKS", "split_prefix_blocks"]

import json

import xxhash

BLOCK_CHARACTERS = 64
MAX_BLOCKS = 64


def split_prefix_blocks(service: str, body: bytes) -> list[str]:
    """Return one hash per full block of the prompt, each covering the prompt up to its end.

    :param body: a chat request in JSON
    """
    prompt = read_prompt(body)
    digest = xxhash.xxh64(service.encode())
    blocks = []
    last = min(len(prompt) // BLOCK_CHARACTERS, MAX_BLOCKS) * BLOCK_CHARACTERS
    for start in range(0, last, BLOCK_CHARACTERS):
        digest.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        blocks.append(digest.hexdigest())
    return blocks


def read_prompt(body: bytes) -> str:
    """Return the joined contents of a chat request's messages, empty if it is malformed."""
    try:
        messages = json.loads(body).get("messages", [])
    except (ValueError, AttributeError):
        return ""
    if not isinstance(messages, list):
        return ""
    parts = [str(item.get("content", "")) for item in messages if isinstance(item, dict)]
    return "\n".join(parts)
