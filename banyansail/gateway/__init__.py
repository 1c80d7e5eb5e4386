"""Gateway of whole HTTP requests: routes by host and path, queues, attempts.

Decisions are modules without input or output; `gateway.router` wires them to sockets.
"""
