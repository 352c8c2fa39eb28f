"""Version of the operator's configuration, indexed for lookups per request."""

from dataclasses import dataclass, field

from swifttide_core.forwarding._customer_terms import CustomerTerms
from swifttide_core.forwarding._request_limits import RequestLimits
from swifttide_core.forwarding._route import Route
from swifttide_core.forwarding._service_spec import ServiceSpec


@dataclass(frozen=True)
class RoutingConfig:
    """Routes, services, customers and limits of one configuration version.

    Parameters
    ----------
    version : int
        Version number, which increases with each change by the operator.
    routes : tuple of Route
    services : tuple of ServiceSpec
    customers : tuple of CustomerTerms
        If empty, requests need no API key.
    limits : RequestLimits
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceSpec, ...] = ()
    customers: tuple[CustomerTerms, ...] = ()
    limits: RequestLimits = field(default_factory=RequestLimits)

    def __post_init__(self):
        by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, {})[route.prefix] = route
        keys = {key: c for c in self.customers for key in c.keys}
        services = {s.name: s for s in self.services}
        customers = {c.name: c for c in self.customers}
        object.__setattr__(self, "_by_host", by_host)
        object.__setattr__(self, "_by_key", keys)
        object.__setattr__(self, "_services", services)
        object.__setattr__(self, "_customers", customers)

    @property
    def needs_keys(self) -> bool:
        """Whether requests on routes that are not public need an API key."""
        return bool(self.customers)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None.

        Parameters
        ----------
        host : str
            Host name in lower case, without a port.
        path : str
            Path without the query string.
        """
        prefixes = self._by_host.get(host)
        if not prefixes:
            return None
        end = path.rfind("/") + 1
        while end > 0:
            found = prefixes.get(path[:end])
            if found is not None:
                return found
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def customer_of(self, key: str) -> CustomerTerms | None:
        """Return the customer to which an API key belongs, or None."""
        return self._by_key.get(key)

    def customer(self, name: str) -> CustomerTerms | None:
        """Return a customer by name, or None."""
        return self._customers.get(name)

    def has_service(self, name: str) -> bool:
        """Return whether a service is configured."""
        return name in self._services

    def service(self, name: str) -> ServiceSpec:
        """Return a service by name, or default settings if it is not configured."""
        return self._services.get(name) or ServiceSpec(name)
