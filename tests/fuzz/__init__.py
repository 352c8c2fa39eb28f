"""Stateful fuzzing of the pure core against simple oracles."""
