"""HTTP client of the transactional table service."""

from __future__ import annotations

from collections.abc import Sequence

from flamingopond_core.exceptions import OutcomeUnknownError, TransactionConflictError
from flamingopond_platform.connection import ConnectionPool
from flamingopond_platform.platform_calls import call_platform, decode_response
from flamingopond_platform.table import Condition, Row, ScanResult, Write
from flamingopond_platform.wire import decode, encode


class TableClient:
    """Implements ``Table`` over HTTP; ``timeout_s`` limits each call."""

    def __init__(self, url: str, timeout_s: float = 2.0) -> None:
        """Create a client of the table service at ``url``."""
        self._pool = ConnectionPool(
            url,
            connect_timeout_s=timeout_s / 2,
            read_timeout_s=timeout_s,
            total_timeout_s=timeout_s,
        )

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the rows that exist; see ``Table.read``."""
        response = await call_platform(
            self._pool, "POST", "/table/read", encode({"keys": list(keys)})
        )
        return {row.key: row for row in decode_response(response, list[Row])}

    async def scan(
        self, prefixes: Sequence[str], after: int = 0, limit: int = 1000
    ) -> ScanResult:
        """Return changed rows; see ``Table.scan``."""
        body = encode({"prefixes": list(prefixes), "after": after, "limit": limit})
        response = await call_platform(self._pool, "POST", "/table/scan", body)
        return decode_response(response, ScanResult)

    async def commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> int:
        """Commit a transaction; see ``Table.commit``."""
        body = encode({"conditions": list(conditions), "writes": list(writes)})
        response = await call_platform(
            self._pool, "POST", "/table/commit", body, mutating=True
        )
        if response.status_code == 409:
            raise TransactionConflictError(response.text)
        try:
            return decode(response.content, dict[str, int])["version"]
        except (ValueError, KeyError) as error:
            raise OutcomeUnknownError(f"malformed reply: {error}") from error

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()
