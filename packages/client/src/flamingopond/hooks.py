"""Callbacks before and after each API call, for logging and measurements."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from flamingopond.structures import Call, Response

BeforeHook = Callable[[str, Call], None]
AfterHook = Callable[[str, Call, Response], None]


@attrs.define
class Hooks:
    """Callbacks for each call; they get the node's address as first argument."""

    before: list[BeforeHook] = attrs.field(factory=list)
    after: list[AfterHook] = attrs.field(factory=list)

    def call_before(self, node: str, call: Call) -> None:
        """Run the callbacks in ``before``."""
        for callback in self.before:
            callback(node, call)

    def call_after(self, node: str, call: Call, response: Response) -> None:
        """Run the callbacks in ``after``."""
        for callback in self.after:
            callback(node, call, response)
