"""How nodes keep what they share as new as the store's, at few calls.

A few nodes, the relays, follow the platform's store; the others ask relays. Nothing is
agreed among nodes: relays are the first of a ranking that all share, and whoever hears
of no relay asks any peer, and the store at a pace that is bounded for the whole fleet.
`copies` holds the copy of each kind of objects, `relays` the decisions. A copy's
revision never goes back.
"""
