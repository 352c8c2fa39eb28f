"""Handles callers' HTTP requests, from the first byte to the end of the response."""
