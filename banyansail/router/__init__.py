"""The router daemon: wiring of the library to sockets and timers."""
