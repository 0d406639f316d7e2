"""Objects of one kind, as seen through a session."""

from __future__ import annotations

import os
from collections.abc import Mapping
from typing import Any, Protocol

import orjson

from flamingopond.structures import Call, Committed, Granted, JsonObject, Query
from flamingopond_core.enums import ObjectKind
from flamingopond_core.keys import SECRET_BYTES, digest_of, make_secret


class Sender(Protocol):
    """What a collection needs of its session."""

    def read(self, call: Call) -> JsonObject:
        """Send a call that may be repeated."""

    def send_change(self, call: Call, base_revision: int | None = None) -> JsonObject:
        """Send a change and return the answer to it, once it is settled."""


class Collection:
    """Objects of one kind; without ``base_revision`` the newest one is changed."""

    def __init__(self, session: Sender, kind: ObjectKind) -> None:
        """Use ``session`` for objects of ``kind``."""
        self._session = session
        self._kind = kind

    def list(self, **query: str) -> JsonObject:
        """Return ``revision`` and ``objects``."""
        return self._session.read(Call("GET", f"{self._kind.value}s", query))

    def show(self, name: str) -> JsonObject:
        """Return ``revision`` and ``object``; raises ``NotFoundError``."""
        return self._session.read(Call("GET", self._path(name)))

    def create(
        self,
        name: str,
        fields: Mapping[str, Any],
        *,
        base_revision: int | None = None,
    ) -> Committed:
        """Add an object."""
        return self._change("POST", self._path(name), fields, base_revision)

    def change(
        self,
        name: str,
        fields: Mapping[str, Any],
        *,
        base_revision: int | None = None,
    ) -> Committed:
        """Change some fields of an object."""
        return self._change("PATCH", self._path(name), fields, base_revision)

    def end(
        self,
        name: str,
        *,
        with_keys: bool = False,
        base_revision: int | None = None,
    ) -> Committed:
        """Delete an object; ``with_keys`` withdraws the keys of a contract too."""
        query = {"with_keys": "true"} if with_keys else {}
        return self._change("DELETE", self._path(name), None, base_revision, query)

    def _path(self, name: str) -> str:
        return f"{self._kind.value}s/{name}"

    def _change(
        self,
        method: str,
        path: str,
        fields: Mapping[str, Any] | None,
        base_revision: int | None,
        query: Query | None = None,
    ) -> Committed:
        content = b"" if fields is None else orjson.dumps(dict(fields))
        call = Call(method, path, query or {}, content)
        body = self._session.send_change(call, base_revision)
        return Committed(body["revision"], body["operation_id"], body["in_force"])


class KeyCollection(Collection):
    """Keys; their secrets are made here, and only the digests are sent.

    A secret is therefore not lost with a lost reply.
    """

    def __init__(self, session: Sender) -> None:
        """Use ``session``."""
        super().__init__(session, ObjectKind.KEY)

    def grant(
        self, key_id: str, workspace: str, *, base_revision: int | None = None
    ) -> Granted:
        """Grant a key to a workspace."""
        secret = make_secret(os.urandom(SECRET_BYTES))
        fields = {"workspace": workspace, "digest": digest_of(secret)}
        accepted = self.create(key_id, fields, base_revision=base_revision)
        return Granted(key_id, secret, accepted)

    def rotate(self, key_id: str, *, base_revision: int | None = None) -> Granted:
        """Give a key a new secret; the old one stops."""
        secret = make_secret(os.urandom(SECRET_BYTES))
        accepted = self._change(
            "POST",
            f"{self._path(key_id)}/rotate",
            {"digest": digest_of(secret)},
            base_revision,
        )
        return Granted(key_id, secret, accepted)

    def withdraw(self, key_id: str, *, base_revision: int | None = None) -> Committed:
        """Withdraw a key."""
        return self.end(key_id, base_revision=base_revision)
