"""Router daemon: connects the library to sockets and timers."""
