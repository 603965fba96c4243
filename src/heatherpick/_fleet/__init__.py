"""Keeps shared objects on every node up to date with few calls to the store.

A few nodes, the relays, follow the platform's store; the others poll relays. Nodes need
no agreement: relays are the first of a ranking that all nodes compute alike, and a node
that finds no relay polls any peer, and calls the store at a rate that is bounded for
the whole fleet. `copies` holds a node's copy of each kind of objects, `relays` the
decisions. The revision of a copy never decreases.
"""
