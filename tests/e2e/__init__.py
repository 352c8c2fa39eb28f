"""End-to-end proofs on real processes over loopback."""
