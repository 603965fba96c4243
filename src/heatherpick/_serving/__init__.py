"""Decisions of a node that sends each leg itself; no I/O and no clock.

The package decides which upstreams a request goes to, when a late leg is hedged, when
a partial answer is better than a late one, and what a caller is told. `requests` holds
the reducer, `legs` where legs go, `ends` how a request ends and `handovers` what other
nodes run for this one; everything else is a part of their state. Nothing here opens a
socket, reads a clock or draws unseeded randomness, so that every decision is tested
without a network.
"""
