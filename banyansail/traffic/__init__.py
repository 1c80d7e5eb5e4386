"""Traffic of all routers, summed by data centre so that no router hears every other.

Each router reports to a few aggregators of its data centre. These exchange the sums of
their data centres and send the sum of the fleet to the routers of their own.
"""
