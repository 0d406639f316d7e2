"""Callbacks around each request, for logs and measurements."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from flamingopond.structures import Call, Reply

Before = Callable[[str, Call], None]
After = Callable[[str, Call, Reply], None]


@attrs.define
class Hooks:
    """Functions that are called with the node's address before and after a call."""

    before: list[Before] = attrs.field(factory=list)
    after: list[After] = attrs.field(factory=list)

    def call_before(self, node: str, call: Call) -> None:
        """Call the functions in ``before``."""
        for function in self.before:
            function(node, call)

    def call_after(self, node: str, call: Call, reply: Reply) -> None:
        """Call the functions in ``after``."""
        for function in self.after:
            function(node, call, reply)
