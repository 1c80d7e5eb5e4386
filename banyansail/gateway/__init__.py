"""HTTP gateway: routing by host and path, queueing, retries and quotas.

Decision logic is in modules without I/O; `gateway.router` connects them to sockets.
"""
