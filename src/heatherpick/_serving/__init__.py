"""Decides how a node serves requests by sending each leg itself; no I/O, no clock.

The package decides which upstreams a request goes to, when a late leg is hedged, when
a partial answer is returned instead of waiting for a complete one, and what the caller
receives. `requests` holds the reducer, `legs` chooses the upstreams of legs,
`completion` answers or refuses requests, and `handovers` hands searches over to other
nodes; the other modules hold their state. Nothing here opens a socket, reads a clock
or draws unseeded random numbers, so every decision is tested without a network.
"""
