"""The tenants of the settings, found by the value of the header field X-Tenant."""
from __future__ import annotations

from typing import Any

from ..interface import Tenant
from .counters import Counters
from .http import percent_decode

MAX_LOGGED_CHARACTERS = 64  # of an unknown tenant's name


class TenantDirectory:
    """Finds tenants by name. Keeps nothing about names that the settings lack, only counts them.

    An RPC without a known tenant is served without one: the decision module then treats it as beyond any quota.
    Without tenants in the settings the header field has no effect.
    """

    def __init__(self, names: list[str], tenants: list[Tenant], counters: Counters, log: Any) -> None:
        # header fields carry no white space at their ends; a tenant without a name cannot be addressed
        self.tenant_by_name = {name.strip(" \t"): tenant for name, tenant in zip(names, tenants, strict=True)
                               if name.strip(" \t")}
        self.counters, self.log = counters, log

    def find(self, value: str | None) -> Tenant | None:
        """Returns the tenant that a header value names, as it is or percent-encoded; None if there is none."""
        if not self.tenant_by_name:
            return None
        if value is None:
            self.counters.add("rpc.no_tenant")
            return None
        name = _decode(value)
        tenant = self.tenant_by_name.get(name) or self.tenant_by_name.get(percent_decode(name))
        if tenant is None:
            self.counters.add("rpc.unknown_tenant")
            self.log.warning("x-tenant is not in the settings", tenant=name[:MAX_LOGGED_CHARACTERS])
        return tenant


def _decode(value: str) -> str:
    """Decodes a header value as UTF-8; the parser of header fields has decoded it as Latin-1.

    >>> _decode("caf\\u00c3\\u00a9"), _decode("caf\\u00e9")
    ('café', 'café')
    """
    try:
        return value.encode("latin-1").decode()
    except UnicodeDecodeError:
        return value
