"""Coordination by conditional updates: leases, final statuses and call budgets.

`client` implements the object API of this project's own interface and its stand-in;
`banyansail.platform` implements that of the users' platform.
"""
