"""httpx client of the transactional table service."""

from __future__ import annotations

from collections.abc import Sequence

from flamingopond_core.exceptions import OutcomeUnknownError, TransactionConflictError
from flamingopond_platform.connection import Connection
from flamingopond_platform.platform_calls import decode_reply, platform_call
from flamingopond_platform.table import Condition, Row, ScanResult, Write
from flamingopond_platform.wire import decode, encode


class TableClient:
    """Implements ``Table`` over HTTP; ``timeout_s`` limits each call."""

    def __init__(self, url: str, timeout_s: float = 2.0) -> None:
        """Prepare a client of the table service at ``url``."""
        self._connection = Connection(
            url,
            connect_timeout_s=timeout_s / 2,
            silence_s=timeout_s,
            total_timeout_s=timeout_s,
        )

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the rows that exist; see ``Table.read``."""
        reply = await platform_call(
            self._connection, "POST", "/table/read", encode({"keys": list(keys)})
        )
        return {row.key: row for row in decode_reply(reply, list[Row])}

    async def scan(
        self, prefixes: Sequence[str], after: int = 0, limit: int = 1000
    ) -> ScanResult:
        """Return changed rows; see ``Table.scan``."""
        body = encode({"prefixes": list(prefixes), "after": after, "limit": limit})
        reply = await platform_call(self._connection, "POST", "/table/scan", body)
        return decode_reply(reply, ScanResult)

    async def commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> int:
        """Apply a transaction; see ``Table.commit``."""
        body = encode({"conditions": list(conditions), "writes": list(writes)})
        reply = await platform_call(
            self._connection, "POST", "/table/commit", body, changes=True
        )
        if reply.status_code == 409:
            raise TransactionConflictError(reply.text)
        try:
            return decode(reply.content, dict[str, int])["version"]
        except (ValueError, KeyError) as error:
            raise OutcomeUnknownError(f"malformed reply: {error}") from error

    async def aclose(self) -> None:
        """Close all connections."""
        await self._connection.aclose()
