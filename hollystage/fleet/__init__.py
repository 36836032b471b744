"""Talk between instances: one datagram socket, one bounded stream, the views that come of it.

Nothing here is imported unless the plan's `fleet` section names an address to bind. What is decided stands in
`hollystage/decisions`; here are sockets, threads and bytes.
"""
