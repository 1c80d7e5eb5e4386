"""What routers agree on by conditional updates: leases, statements, call budgets.

`client` speaks the object API of our own interface and its stand-in; the users'
platform is met in `banyansail.platform`.
"""
