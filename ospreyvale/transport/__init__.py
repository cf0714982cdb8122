"""I/O and timers, without any message format.

The epoll loop, TCP, UDP and Unix sockets, and reconnecting clients.
"""
