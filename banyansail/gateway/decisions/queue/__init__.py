"""Which requests wait, in which order, and which get a slot or a rejection."""
