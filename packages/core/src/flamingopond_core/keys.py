"""Secrets of API and operator keys: creation, digests and lookup by digest.

A secret has 256 random bits, so its plain SHA-256 cannot be found by brute force,
and no salt or slow hash is needed.
"""

from __future__ import annotations

import hmac
from base64 import urlsafe_b64encode
from collections.abc import Mapping
from hashlib import sha256
from typing import TypeVar

SECRET_BYTES = 32
SECRET_PREFIX = "fpk-"

T = TypeVar("T")


def make_secret(random_bytes: bytes) -> str:
    """Return a secret made from ``random_bytes`` of a cryptographic source.

    Raises ``ValueError`` if there are too few of them.
    """
    if len(random_bytes) < SECRET_BYTES:
        raise ValueError(f"a secret needs {SECRET_BYTES} random bytes")
    return SECRET_PREFIX + urlsafe_b64encode(random_bytes).rstrip(b"=").decode()


def digest_of(secret: str) -> str:
    """Return the SHA-256 of a secret in hexadecimal."""
    return sha256(secret.encode("utf-8", "surrogateescape")).hexdigest()


def matches(secret: str, digest: str) -> bool:
    """Tell whether ``secret`` has ``digest``, in constant time."""
    return hmac.compare_digest(digest_of(secret), digest)


def find_by_secret(by_digest: Mapping[str, T], secret: str) -> T | None:
    """Return the entry for a secret.

    The lookup time depends only on the digest and not on the secret. A caller
    cannot choose a prefix of the digest, so timing reveals nothing useful.
    """
    return by_digest.get(digest_of(secret))
