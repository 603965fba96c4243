"""Stand-ins for the platform's store, backends, clients and the entry balancer.

They use the standard library only, run in one event loop, and follow the pages of the
users' platform. Node processes are started with the command of the deploy file.
"""
