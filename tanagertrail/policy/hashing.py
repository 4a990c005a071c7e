"""Rendezvous hashing."""

__all__ = ["RendezvousTable", "rank_by_hash", "score_pair"]

import heapq
from collections.abc import Iterable

import xxhash


def score_pair(key: str, candidate: str) -> int:
    """Return the weight of a candidate for a key, the same in every process."""
    return xxhash.xxh64_intdigest(f"{key}\x00{candidate}".encode())


def rank_by_hash(key: str, candidates: Iterable[str]) -> list[str]:
    """Order candidates by rendezvous hashing, the preferred one first."""
    return sorted(candidates, key=lambda name: (score_pair(key, name), name), reverse=True)


class RendezvousTable:
    """The first few candidates of many keys, kept up to date as candidates come and go.

    A change of one candidate costs one hash a key, and a whole ranking only for the keys that
    lose a chosen one.
    """

    def __init__(self, depth: int) -> None:
        self.depth = depth
        self.candidates: set[str] = set()
        self.chosen: dict[str, list[tuple[int, str]]] = {}

    def add_key(self, key: str) -> None:
        """Rank the candidates of a new key."""
        if key not in self.chosen:
            self.chosen[key] = self.rank(key)

    def remove_key(self, key: str) -> None:
        """Forget a key."""
        self.chosen.pop(key, None)

    def rank(self, key: str) -> list[tuple[int, str]]:
        """Return the first candidates of a key with their scores."""
        scored = ((score_pair(key, name), name) for name in self.candidates)
        return heapq.nlargest(self.depth, scored)

    def update(self, candidates: Iterable[str]) -> None:
        """Take the present candidates."""
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
        """Say whether a candidate is among the first of a key."""
        return any(name == candidate for _, name in self.chosen.get(key, ()))
