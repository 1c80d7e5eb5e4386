"""A small site of stand-ins and routers in one process, with a mixed load."""
