"""Live migration of runs from engines that leave."""
