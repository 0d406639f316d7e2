"""Expected load of engines, given which models they hold."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence

import attrs


def spread(work: float, levels: Sequence[float]) -> list[float]:
    """Divide ``work`` over engines with ``levels`` so that the highest is lowest.

    This is how load-aware routing divides requests: the emptiest get most.
    """
    order = sorted(range(len(levels)), key=levels.__getitem__)
    total = work
    level = 0.0
    for count, index in enumerate(order, start=1):
        total += levels[index]
        level = total / count
        if count == len(order) or level <= levels[order[count]]:
            break
    return [max(0.0, level - value) for value in levels]


@attrs.define
class Balance:
    """Load of each engine as a share of its capacity, divided among holders.

    ``work`` is the demand of each model in engines fully used.
    """

    _load: dict[str, float]
    _shares: dict[str, dict[str, float]] = attrs.field(factory=dict, init=False)

    @classmethod
    def of_engines(cls, engines: Iterable[str]) -> Balance:
        """Start with idle engines."""
        return cls(dict.fromkeys(engines, 0.0))

    @property
    def load(self) -> Mapping[str, float]:
        """Load of each engine."""
        return self._load

    def share(self, model: str, engine: str) -> float:
        """Return the load that ``model`` puts on ``engine``."""
        return self._shares.get(model, {}).get(engine, 0.0)

    def models_on(self, engine: str, models: Iterable[str]) -> list[str]:
        """Return ``models`` by the load that they put on ``engine``, highest first."""
        return sorted(models, key=lambda m: self.share(m, engine), reverse=True)

    def place(self, model: str, work: float, holders: Collection[str]) -> None:
        """Divide the work of ``model`` anew over ``holders``."""
        for engine, share in self._shares.pop(model, {}).items():
            if engine in self._load:
                self._load[engine] -= share
        names = [engine for engine in holders if engine in self._load]
        if not names or work <= 0.0:
            return
        if len(names) == 1:
            shares = {names[0]: work}
        else:
            parts = spread(work, [self._load[engine] for engine in names])
            shares = dict(zip(names, parts, strict=True))
        for engine, share in shares.items():
            self._load[engine] += share
        self._shares[model] = shares

    def peak_with(self, model: str, work: float, holders: Collection[str]) -> float:
        """Return the highest load among ``holders`` if they shared ``model``."""
        shares = self._shares.get(model, {})
        base = [self._load[engine] - shares.get(engine, 0.0) for engine in holders]
        parts = spread(work, base)
        return max(level + part for level, part in zip(base, parts, strict=True))
