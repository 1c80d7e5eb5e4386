"""A caller's request, and the response to it: types, parsing, refusals, writer."""
