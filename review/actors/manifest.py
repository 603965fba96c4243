"""Manifests of a small deployment, as the operator writes them."""

HOST = "search.example"
LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 262144,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}


def make_route(service, kind, timeout_ms):
    """Return a route to one service, whose path prefix is the service's name."""
    return {
        "name": f"r-{service}",
        "host": HOST,
        "path-prefix": f"/{service}/",
        "type": kind,
        "timeout-ms": timeout_ms,
        "slo-ms": 278,
        "priority": 2,
        "service": service,
        "attempts": 2,
    }


def make_manifest(routes, services, version=7):
    """Return a manifest."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": service,
                "health-path": "/health",
                "max-connections": 192,
                "protocol": "h1",
                "tls": False,
                "cold-start-s": 3.0,
                "cold-per-s": 0.0,
            }
            for service in services
        ],
        "limits": LIMITS,
    }
