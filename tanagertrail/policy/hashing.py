"""Rendezvous hashing."""

__all__ = ["RendezvousTable", "find_preferred", "rank_by_hash", "score_pair"]

import heapq
from collections.abc import Iterable

import xxhash


def score_pair(key: str, candidate: str) -> int:
    """Return the weight of a candidate for a key, the same in every process."""
    return xxhash.xxh64_intdigest(f"{key}\x00{candidate}".encode())


def find_preferred(key: str, candidates: Iterable[str]) -> str:
    """Return the candidate with the highest weight for a key, empty if there is none."""
    prefix, digest = f"{key}\x00", xxhash.xxh64_intdigest
    return max(candidates, key=lambda name: digest((prefix + name).encode()), default="")


def rank_by_hash(key: str, candidates: Iterable[str]) -> list[str]:
    """Order candidates by rendezvous hashing, the preferred one first."""
    return sorted(candidates, key=lambda name: (score_pair(key, name), name), reverse=True)


class RendezvousTable:
    """The preferred candidates of many keys, updated incrementally as candidates change.

    Adding a candidate costs one hash per key. Removing one costs a full ranking, but only of the
    keys for which it was chosen.

    :ivar depth: number of preferred candidates per key
    :ivar chosen: preferred candidates by key, with their scores
    """

    def __init__(self, depth: int) -> None:
        self.depth = depth
        self.candidates: set[str] = set()
        self.chosen: dict[str, list[tuple[int, str]]] = {}

    def add_key(self, key: str) -> None:
        """Add a key and rank the candidates for it."""
        if key not in self.chosen:
            self.chosen[key] = self.rank(key)

    def remove_key(self, key: str) -> None:
        """Remove a key."""
        self.chosen.pop(key, None)

    def rank(self, key: str) -> list[tuple[int, str]]:
        """Return the preferred candidates of a key with their scores."""
        scored = ((score_pair(key, name), name) for name in self.candidates)
        return heapq.nlargest(self.depth, scored)

    def update(self, candidates: Iterable[str]) -> None:
        """Replace the candidates and update the rankings of all keys."""
        present = set(candidates)
        added = present - self.candidates
        removed = self.candidates - present
        if not added and not removed:
            return
        self.candidates = present
        for key, chosen in self.chosen.items():
            if any(name in removed for _, name in chosen):
                self.chosen[key] = self.rank(key)
            elif added:
                scored = [(score_pair(key, name), name) for name in added]
                self.chosen[key] = heapq.nlargest(self.depth, chosen + scored)

    def is_chosen(self, key: str, candidate: str) -> bool:
        """Return whether a candidate is among the preferred ones of a key."""
        return any(name == candidate for _, name in self.chosen.get(key, ()))
