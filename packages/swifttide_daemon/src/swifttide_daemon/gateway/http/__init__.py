"""Connections that carry HTTP/1.1, and what bounds the reading from them."""
