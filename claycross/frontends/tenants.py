"""The tenants of the embeddings frontend: their quotas and the digests of their API keys."""

from __future__ import annotations

import hashlib
import json
import os
from typing import Any

from ..config.settings import ConfigurationError
from ..interface import TenantQuota
from ..net.http1 import Head
from .errors import RequestError


def digest(key: str) -> str:
    """Return the digest of a key; keys themselves are not stored."""
    return hashlib.sha256(key.encode()).hexdigest()


def bearer_token(head: Head) -> str:
    """Return the bearer token of a request; empty if it has none."""
    scheme, _, key = head.get("authorization").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


class Tenants:
    """The tenants, their quotas and the digests of their keys.

    The table of quotas is shared with the routing module and is changed in place.
    """

    def __init__(self, path: str, quotas: dict[str, TenantQuota]):
        """Load the tenants' file, if there is one.

        Raises:
            ConfigurationError: If the file can't be read or is not valid.
        """
        self.path = path
        self.quotas = quotas
        self.names_by_digest: dict[str, str] = {}  # digest of a key -> its tenant
        try:
            with open(path, encoding="utf-8") as file:
                for name, entry in json.load(file).items():
                    self.put(name, float(entry["quota_per_s"]), str(entry["key_sha256"]))
        except FileNotFoundError:
            pass
        except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
            raise ConfigurationError(f"tenants {path}: {type(error).__name__} {error}") from None

    def put(self, name: str, quota: float, key_digest: str) -> None:
        """Add a tenant, or replace its quota and key."""
        self._remove_key(name)
        self.names_by_digest[key_digest] = name
        self.quotas[name] = TenantQuota(name, quota)

    def remove(self, name: str) -> None:
        """Remove a tenant."""
        self._remove_key(name)
        self.quotas.pop(name, None)

    def _remove_key(self, name: str) -> None:
        self.names_by_digest = {
            key: tenant for key, tenant in self.names_by_digest.items() if tenant != name
        }

    def authenticate(self, head: Head) -> str:
        """Return the tenant whose key a request has.

        Raises:
            RequestError: If the request has no key, or one of no tenant.
        """
        name = self.names_by_digest.get(digest(bearer_token(head)))
        if name is None:
            raise RequestError(
                401,
                "no valid API key was sent",
                [("WWW-Authenticate", "Bearer")],
                code="invalid_api_key",
            )
        return name

    def owner_of(self, key_digest: str) -> str | None:
        """Return the tenant with this key, if any."""
        return self.names_by_digest.get(key_digest)

    def key_digest_of(self, name: str) -> str:
        """Return the digest of a tenant's key."""
        return next(key for key, tenant in self.names_by_digest.items() if tenant == name)

    def show(self, name: str) -> dict[str, Any]:
        """Return a tenant as the API shows it, without its key."""
        return {"name": name, "quota_per_s": self.quotas[name].quota_per_s}

    def save(self) -> None:
        """Replace the file atomically.

        A file truncated by a crash would lock all tenants out from the next start on.
        """
        digests_by_name = {tenant: key for key, tenant in self.names_by_digest.items()}
        entries = {
            name: {"quota_per_s": quota.quota_per_s, "key_sha256": digests_by_name[name]}
            for name, quota in self.quotas.items()
        }
        with open(f"{self.path}.new", "w", encoding="utf-8") as file:
            json.dump(entries, file, indent=1)
        os.replace(f"{self.path}.new", self.path)
