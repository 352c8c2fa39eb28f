"""A caller's request, from its first byte to the end of its answer."""
