"""Token budgets of programs: granted by rows, lent in an outage."""
