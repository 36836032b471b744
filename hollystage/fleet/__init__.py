"""Communication between instances: a datagram socket, length-framed streams, and the membership view built from them.

Nothing in this package is imported unless the `fleet` section of the plan names an address to bind. The package
holds sockets, threads and encodings; the decisions are in `hollystage/decisions`.
"""
