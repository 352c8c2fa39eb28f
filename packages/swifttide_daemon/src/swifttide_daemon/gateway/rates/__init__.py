"""Customers' rates over all hosts."""
