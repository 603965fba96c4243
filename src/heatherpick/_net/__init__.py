"""Event loop, TCP streams and HTTP of the node that sends each leg itself.

Twisted's reactor alone takes 31 MB of resident memory on the users' VMs and asyncio
20 MB, so the event loop uses the standard library's epoll, and HTTP is parsed by
httptools.
"""
