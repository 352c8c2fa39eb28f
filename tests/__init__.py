"""Proofs that span packages."""
