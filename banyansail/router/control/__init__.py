"""What routers do together: rules, moves, placement, calls between routers."""
