"""Expected load of engines for a given placement of models."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence

import attrs


def water_fill(work: float, levels: Sequence[float]) -> list[float]:
    """Divide ``work`` over engines so that their highest level becomes minimal.

    This models load-aware routing, which sends most requests to the least loaded
    engines.
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
class LoadEstimate:
    """Load of each engine as a fraction of its capacity.

    ``work`` is a model's demand in fully used engines; it is divided over the engines
    that hold the model.
    """

    _load: dict[str, float]
    _shares: dict[str, dict[str, float]] = attrs.field(factory=dict, init=False)

    @classmethod
    def of_engines(cls, engines: Iterable[str]) -> LoadEstimate:
        """Create an estimate with all engines idle."""
        return cls(dict.fromkeys(engines, 0.0))

    @property
    def load(self) -> Mapping[str, float]:
        """Load of each engine."""
        return self._load

    def share(self, model: str, engine: str) -> float:
        """Return the load that ``model`` puts on ``engine``."""
        return self._shares.get(model, {}).get(engine, 0.0)

    def models_by_load(self, engine: str, models: Iterable[str]) -> list[str]:
        """Return ``models`` sorted by their load on ``engine``, highest first."""
        return sorted(models, key=lambda m: self.share(m, engine), reverse=True)

    def place(self, model: str, work: float, holders: Collection[str]) -> None:
        """Redistribute the work of ``model`` over ``holders``."""
        for engine, share in self._shares.pop(model, {}).items():
            if engine in self._load:
                self._load[engine] -= share
        present = [engine for engine in holders if engine in self._load]
        if not present or work <= 0.0:
            return
        if len(present) == 1:
            shares = {present[0]: work}
        else:
            added_loads = water_fill(work, [self._load[engine] for engine in present])
            shares = dict(zip(present, added_loads, strict=True))
        for engine, share in shares.items():
            self._load[engine] += share
        self._shares[model] = shares

    def peak_load_with(
        self, model: str, work: float, holders: Collection[str]
    ) -> float:
        """Return the highest load among ``holders`` if they shared ``model``."""
        shares = self._shares.get(model, {})
        base_loads = [
            self._load[engine] - shares.get(engine, 0.0) for engine in holders
        ]
        added_loads = water_fill(work, base_loads)
        return max(
            level + added for level, added in zip(base_loads, added_loads, strict=True)
        )
